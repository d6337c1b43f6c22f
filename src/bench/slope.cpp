#include "bench/slope.h"

#include <ctime>

#include <malloc.h>

namespace currantwalk {

namespace {

struct Line
{
    double slope = 0;
    double intercept = 0;
};

} // namespace

static Line fit(const std::vector<Slope::Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const Slope::Point &point : points) {
        sumX += point.size;
        sumY += point.value;
        sumXX += point.size * point.size;
        sumXY += point.size * point.value;
    }
    const double spread = count * sumXX - sumX * sumX;
    if (points.size() < 2 || spread == 0)
        return {0, points.empty() ? 0 : sumY / count};
    const double slope = (count * sumXY - sumX * sumY) / spread;
    return {slope, (sumY - slope * sumX) / count};
}

double Slope::perUnit() const
{
    return fit(points).slope;
}

double Slope::atZero() const
{
    return fit(points).intercept;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace currantwalk
