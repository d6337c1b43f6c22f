#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace currantwalk {

struct Metrics::Private
{
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

static const prometheus::Histogram::BucketBoundaries &secondsBuckets()
{
    static const prometheus::Histogram::BucketBoundaries Buckets{
            0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.078, 0.1, 0.25,
            0.5,   0.96,   2.5,   5,    10,    30,   60,    300};
    return Buckets;
}

Metrics::Metrics() : d(std::make_unique<Private>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const MetricLabels &labels, double amount)
{
    prometheus::Family<prometheus::Counter> *&family = d->counters[name];
    if (!family)
        family = &prometheus::BuildCounter().Name(name).Register(d->registry);
    family->Add(labels).Increment(amount);
}

void Metrics::set(const std::string &name, const MetricLabels &labels, double value)
{
    prometheus::Family<prometheus::Gauge> *&family = d->gauges[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(name).Register(d->registry);
    family->Add(labels).Set(value);
}

void Metrics::observe(const std::string &name, const MetricLabels &labels, Duration value)
{
    prometheus::Family<prometheus::Histogram> *&family = d->histograms[name];
    if (!family)
        family = &prometheus::BuildHistogram().Name(name).Register(d->registry);
    const double seconds = std::chrono::duration<double>(value).count();
    family->Add(labels, secondsBuckets()).Observe(seconds);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

} // namespace currantwalk
