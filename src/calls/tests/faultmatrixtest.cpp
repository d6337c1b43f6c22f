#include <string>

#include "calls/tests/faultmatrix.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static void runKind(SimKind kind)
{
    for (const SimStep step : stepsOf(kind)) {
        for (int i = 0; i < MatrixFaultCount; ++i) {
            const MatrixCell cell{kind, step, static_cast<MatrixFault>(i)};
            const MatrixResult result = runCell(cell);
            std::string name = std::string(simStepName(step)) + " "
                               + std::string(matrixFaultName(cell.fault)) + " ended "
                               + std::string(simEndName(result.end));
            for (const std::string &violation : result.violations)
                name += "; " + violation;
            CHECK_TEXT(result.isPassed(), name.c_str());
        }
    }
}

TEST_GROUP(FaultMatrix){};

TEST(FaultMatrix, streamedGeneration)
{
    runKind(SimKind::Streamed);
}

TEST(FaultMatrix, wholeGeneration)
{
    runKind(SimKind::Whole);
}

TEST(FaultMatrix, idempotentCall)
{
    runKind(SimKind::Idempotent);
}

TEST(FaultMatrix, nonIdempotentCallWithKey)
{
    runKind(SimKind::Keyed);
}

TEST(FaultMatrix, nonIdempotentCallWithoutKey)
{
    runKind(SimKind::Unkeyed);
}
