#ifndef CURRANTWALK_OBSERVE_METRICS_H
#define CURRANTWALK_OBSERVE_METRICS_H

#include <map>
#include <memory>
#include <string>

#include "base/timerservice.h"

namespace currantwalk {

using MetricLabels = std::map<std::string, std::string>;

/// The process's counters, gauges and histograms, in the text format that collectors read.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Adds to a counter; a new name or set of labels makes one.
    void count(const std::string &name, const MetricLabels &labels = {}, double amount = 1);
    void set(const std::string &name, const MetricLabels &labels, double value);
    /// Adds a duration to a histogram of seconds.
    void observe(const std::string &name, const MetricLabels &labels, Duration value);
    /// Returns all as text.
    std::string exposition() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_METRICS_H
