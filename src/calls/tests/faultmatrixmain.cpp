#include <cstdio>
#include <string>

#include "calls/tests/faultmatrix.h"

using namespace currantwalk;

static std::string allowedText(const MatrixResult &result)
{
    std::string text;
    for (const SimOutcome end : result.allowed)
        text += (text.empty() ? "" : "|") + std::string(simOutcomeName(end));
    return text;
}

// Prints each cell of the fault matrix; the last line is 'N passed, N failed'.
int main()
{
    int passed = 0;
    int failed = 0;
    for (int kind = 0; kind <= static_cast<int>(SimRequestKind::Unkeyed); ++kind) {
        for (const SimRequestStep step : stepsForKind(static_cast<SimRequestKind>(kind))) {
            for (int fault = 0; fault < MatrixFaultCount; ++fault) {
                const MatrixCell cell{static_cast<SimRequestKind>(kind), step,
                                      static_cast<MatrixFault>(fault)};
                const MatrixResult result = runCell(cell);
                ++(result.isPassed() ? passed : failed);
                std::printf("%-4s %-10s %-12s %-20s %-8s of %s%s\n",
                            result.isPassed() ? "pass" : "FAIL",
                            std::string(simRequestKindName(cell.kind)).c_str(),
                            std::string(simRequestStepName(cell.step)).c_str(),
                            std::string(matrixFaultName(cell.fault)).c_str(),
                            std::string(simOutcomeName(result.end)).c_str(),
                            allowedText(result).c_str(),
                            result.wasInjected ? "" : " (the step was not reached)");
                for (const std::string &violation : result.violations)
                    std::printf("     %s\n", violation.c_str());
            }
        }
    }
    std::printf("%d passed, %d failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
