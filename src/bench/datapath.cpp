#include "bench/datapath.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include <popt.h>
#include <sysexits.h>

#include "base/json.h"
#include "bench/streamrig.h"

namespace currantwalk {

// The most that reading and writing events may cost beside copying bytes.
static constexpr double TargetRatio = 1.5;

namespace {

struct DatapathOptions
{
    int streams = 1000;
    int bursts = 100;
    int repeats = 5;
    int json = 0;
};

/// The figures of all repeats of one way through.
struct Way
{
    const char *name;
    std::vector<StreamFigures> runs;
};

using MakeForwarder = absl::StatusOr<std::unique_ptr<Forwarder>> (*)(const Endpoint &);

} // namespace

template<typename Figure>
static double medianOf(const std::vector<StreamFigures> &runs, Figure figure)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const StreamFigures &run : runs)
        values.push_back(figure(run));
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

static Json::Value delayJson(const std::vector<StreamFigures> &runs,
                             DelayFigures StreamFigures::*delay)
{
    Json::Value json;
    json["median_us"] =
            medianOf(runs, [&](const StreamFigures &run) { return (run.*delay).median; });
    json["p99_us"] = medianOf(runs, [&](const StreamFigures &run) { return (run.*delay).p99; });
    return json;
}

static double processorTimeOf(const Way &way)
{
    return medianOf(way.runs, [](const StreamFigures &run) { return run.processorTimePerEvent; });
}

static Json::Value wayJson(const Way &way)
{
    Json::Value json;
    json["events"] = static_cast<Json::UInt64>(way.runs.front().events);
    json["cpu_us_per_event"] = processorTimeOf(way);
    json["heap_bytes_per_stream"] =
            medianOf(way.runs, [](const StreamFigures &run) { return run.heapPerStream; });
    json["first_event"] = delayJson(way.runs, &StreamFigures::firstEvent);
    json["single_event"] = delayJson(way.runs, &StreamFigures::singleEvent);
    json["burst_event"] = delayJson(way.runs, &StreamFigures::burstEvent);
    return json;
}

static absl::Status runOnce(StreamRig &rig, MakeForwarder make, Way &way)
{
    std::unique_ptr<Forwarder> forwarder;
    if (make) {
        absl::StatusOr<std::unique_ptr<Forwarder>> made = make(rig.source());
        if (!made.ok())
            return made.status();
        forwarder = std::move(*made);
    }
    const absl::StatusOr<StreamFigures> figures = rig.run(forwarder.get());
    if (!figures.ok())
        return figures.status();
    way.runs.push_back(*figures);
    return absl::OkStatus();
}

static void printText(const std::vector<Way> &ways, double ratio)
{
    std::printf("%-8s %12s %14s %18s %18s %18s\n", "way", "cpu us/event", "heap B/stream",
                "first us p50/p99", "single us p50/p99", "burst us p50/p99");
    for (const Way &way : ways) {
        const Json::Value json = wayJson(way);
        std::printf("%-8s %12.3f %14.0f", way.name, json["cpu_us_per_event"].asDouble(),
                    json["heap_bytes_per_stream"].asDouble());
        for (const char *delay : {"first_event", "single_event", "burst_event"})
            std::printf(" %9.0f/%8.0f", json[delay]["median_us"].asDouble(),
                        json[delay]["p99_us"].asDouble());
        std::printf("\n");
    }
    std::printf("events against bare: %.2f (target: at most %.1f)\n", ratio, TargetRatio);
}

static void printJson(const DatapathOptions &options, const std::vector<Way> &ways, double ratio)
{
    Json::Value json;
    json["streams"] = options.streams;
    json["repeats"] = options.repeats;
    for (const Way &way : ways)
        json["ways"][way.name] = wayJson(way);
    json["cpu_ratio"] = ratio;
    json["cpu_ratio_target"] = TargetRatio;
    std::printf("%s\n", writeJson(json).c_str());
}

static absl::Status measure(const DatapathOptions &options)
{
    absl::StatusOr<std::unique_ptr<StreamRig>> rig = StreamRig::create(
            static_cast<std::size_t>(options.streams), static_cast<std::size_t>(options.bursts));
    if (!rig.ok())
        return rig.status();
    std::vector<Way> ways{{"direct", {}}, {"bare", {}}, {"events", {}}};
    const std::vector<MakeForwarder> makers{nullptr, &makeBareForwarder, &makeEventForwarder};
    // The ways take turns, so that a change of the machine's load falls on all of them.
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
        for (std::size_t i = 0; i < ways.size(); ++i) {
            const absl::Status status = runOnce(**rig, makers[i], ways[i]);
            if (!status.ok())
                return status;
        }
    }
    const double ratio = processorTimeOf(ways[2]) / processorTimeOf(ways[1]);
    if (options.json != 0)
        printJson(options, ways, ratio);
    else
        printText(ways, ratio);
    return absl::OkStatus();
}

static int runDatapath(int argc, const char **argv)
{
    DatapathOptions options;
    const poptOption table[] = {{"streams", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
                                 &options.streams, 0, "Streams that are open at once", "N"},
                                {"bursts", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
                                 &options.bursts, 0, "Events on each stream", "N"},
                                {"repeats", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
                                 &options.repeats, 0, "Runs of each way; medians are printed", "N"},
                                {"json", 0, POPT_ARG_NONE, &options.json, 0, "Print JSON", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("currantwalk-bench datapath", argc, argv, table, 0);
    const int result = poptGetNextOpt(context);
    const bool isWrong = result < -1 || poptPeekArg(context) || options.streams < 1
                         || options.bursts < 1 || options.repeats < 1;
    if (isWrong)
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    if (isWrong)
        return EX_USAGE;
    const absl::Status status = measure(options);
    if (status.ok())
        return EX_OK;
    std::fprintf(stderr, "currantwalk-bench: %s\n", status.ToString().c_str());
    return EX_SOFTWARE;
}

const BenchCommand DatapathCommand{"datapath", "cost of forwarding event streams", &runDatapath};

} // namespace currantwalk
