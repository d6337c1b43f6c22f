#include <cstdint>
#include <cstdlib>

#include "base/endpoint.h"
#include "base/json.h"

using namespace currantwalk;

static bool jsonRoundTrips(std::string_view text)
{
    const absl::StatusOr<Json::Value> value = parseJson(text);
    if (!value.ok())
        return errorCode(value.status()) == ErrorCode::JsonInvalid;
    const absl::StatusOr<Json::Value> again = parseJson(writeJson(*value));
    return again.ok() && writeJson(*again) == writeJson(*value);
}

static bool endpointRoundTrips(std::string_view text)
{
    const absl::StatusOr<Endpoint> endpoint = Endpoint::parse(text);
    if (!endpoint.ok())
        return errorCode(endpoint.status()) == ErrorCode::AddressInvalid;
    const absl::StatusOr<Endpoint> again = Endpoint::parse(endpoint->toString());
    return again.ok() && *again == *endpoint;
}

// Checks that accepted input survives a round trip and that all other input fails with the expected
// error code.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (!jsonRoundTrips(text) || !endpointRoundTrips(text))
        std::abort();
    return 0;
}
