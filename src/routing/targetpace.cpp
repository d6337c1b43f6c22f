#include "routing/targetpace.h"

#include <algorithm>

namespace currantwalk {

void TargetPace::note(const PaceSample &sample, const std::vector<TargetStart> &service,
                      TimePoint now)
{
    const double units = std::max(sample.units, 1.0);
    const double seconds = std::chrono::duration<double>(sample.time).count();
    if (sample.kind != PaceKind::Events) {
        const double expected = speeds.expectedTime(service, sample.kind) * units;
        ramps.onAnswering(
                sample.start, sample.time,
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected)), now);
    }
    // What a target shows while it starts is not its speed.
    if (ramps.phaseOf(sample.start, now) != RampPhase::Probing)
        speeds.observe(sample.start, sample.kind, seconds / units, sample.load, sample.weight, now);
}

} // namespace currantwalk
