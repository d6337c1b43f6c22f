#include <string>

#include "calls/tests/faultmatrix.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static void runKind(SimRequestKind kind)
{
    for (const SimRequestStep step : stepsForKind(kind)) {
        for (int i = 0; i < MatrixFaultCount; ++i) {
            const MatrixCell cell{kind, step, static_cast<MatrixFault>(i)};
            const MatrixResult result = runCell(cell);
            std::string name = std::string(simRequestStepName(step)) + " "
                               + std::string(matrixFaultName(cell.fault)) + " ended "
                               + std::string(simOutcomeName(result.end));
            for (const std::string &violation : result.violations)
                name += "; " + violation;
            CHECK_TEXT(result.isPassed(), name.c_str());
        }
    }
}

TEST_GROUP(FaultMatrix){};

TEST(FaultMatrix, streamedGenerationHasAllowedOutcomes)
{
    runKind(SimRequestKind::Streamed);
}

TEST(FaultMatrix, wholeGenerationHasAllowedOutcomes)
{
    runKind(SimRequestKind::Whole);
}

TEST(FaultMatrix, idempotentCallHasAllowedOutcomes)
{
    runKind(SimRequestKind::Idempotent);
}

TEST(FaultMatrix, keyedCallHasAllowedOutcomes)
{
    runKind(SimRequestKind::Keyed);
}

TEST(FaultMatrix, unkeyedCallHasAllowedOutcomes)
{
    runKind(SimRequestKind::Unkeyed);
}
