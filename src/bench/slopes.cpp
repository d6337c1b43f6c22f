#include "bench/slopes.h"

#include <cstdio>
#include <cstring>

#include <json/value.h>
#include <sysexits.h>

#include "base/json.h"
#include "bench/slope.h"

namespace currantwalk {

static std::vector<Slope> measureAll()
{
    std::vector<Slope> slopes = measureState();
    for (std::vector<Slope> (*measure)() : {measureMembership, measureTargets, measureLimits}) {
        for (Slope &slope : measure())
            slopes.push_back(std::move(slope));
    }
    return slopes;
}

static void printJson(const std::vector<Slope> &slopes)
{
    Json::Value root(Json::arrayValue);
    for (const Slope &slope : slopes) {
        Json::Value row(Json::objectValue);
        row["name"] = slope.name;
        row["sizeUnit"] = slope.sizeUnit;
        row["unit"] = slope.unit;
        row["slope"] = slope.perUnit();
        row["intercept"] = slope.atZero();
        for (const Slope::Point &point : slope.points) {
            Json::Value cells(Json::arrayValue);
            cells.append(point.size);
            cells.append(point.value);
            row["points"].append(cells);
        }
        root.append(row);
    }
    std::puts(writeJson(root).c_str());
}

static void printTable(const std::vector<Slope> &slopes)
{
    for (const Slope &slope : slopes) {
        std::printf("%s, %s by %s:", slope.name.c_str(), slope.unit.c_str(),
                    slope.sizeUnit.c_str());
        for (const Slope::Point &point : slope.points)
            std::printf("  %g: %.6g", point.size, point.value);
        std::printf("  (%.4g each, %.4g at none)\n", slope.perUnit(), slope.atZero());
    }
}

static int runSlopes(int argc, const char **argv)
{
    const bool isJson = argc == 2 && std::strcmp(argv[1], "--json") == 0;
    if (argc > 1 && !isJson) {
        std::fputs("usage: currantwalk-bench slopes [--json]\n", stderr);
        return EX_USAGE;
    }
    const std::vector<Slope> slopes = measureAll();
    if (isJson)
        printJson(slopes);
    else
        printTable(slopes);
    return EX_OK;
}

const BenchCommand SlopesCommand{
        "slopes", "state, traffic and processor time for each peer, target, limit and object",
        runSlopes};

} // namespace currantwalk
