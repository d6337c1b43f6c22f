#include <cstdio>
#include <string>

#include "calls/tests/faultmatrix.h"

using namespace currantwalk;

static std::string allowedText(const MatrixResult &result)
{
    std::string text;
    for (const SimEnd end : result.allowed)
        text += (text.empty() ? "" : "|") + std::string(simEndName(end));
    return text;
}

// Prints each cell of the fault matrix and ends on 'N passed, N failed'.
int main()
{
    int passed = 0;
    int failed = 0;
    for (int kind = 0; kind <= static_cast<int>(SimKind::Unkeyed); ++kind) {
        for (const SimStep step : stepsOf(static_cast<SimKind>(kind))) {
            for (int fault = 0; fault < MatrixFaultCount; ++fault) {
                const MatrixCell cell{static_cast<SimKind>(kind), step,
                                      static_cast<MatrixFault>(fault)};
                const MatrixResult result = runCell(cell);
                ++(result.isPassed() ? passed : failed);
                std::printf("%-4s %-10s %-12s %-20s %-8s of %s%s\n",
                            result.isPassed() ? "pass" : "FAIL",
                            std::string(simKindName(cell.kind)).c_str(),
                            std::string(simStepName(cell.step)).c_str(),
                            std::string(matrixFaultName(cell.fault)).c_str(),
                            std::string(simEndName(result.end)).c_str(),
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
