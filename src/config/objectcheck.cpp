#include "config/objectcheck.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "config/durationtext.h"
#include "config/objectschema.h"

namespace currantwalk {

static constexpr std::size_t MaxNameLength = 63;
static constexpr std::size_t KeyHashLength = 64; // SHA-256 in hexadecimal.
static constexpr std::uint32_t MaxRank = 1000;
static constexpr std::uint32_t MaxContextTokens = 4'000'000;
static constexpr std::uint32_t MaxReplicas = 1000;
static constexpr double MaxRate = 1e9; // Requests or tokens a second.
static constexpr std::uint32_t MaxStreams = 1'000'000;
static constexpr Duration MaxHold = std::chrono::hours(1);
static constexpr Duration MaxDeadline = std::chrono::hours(24);
static constexpr std::array<std::string_view, 5> RepeatableMethods{"PUT", "DELETE", "OPTIONS",
                                                                   "POST", "PATCH"};

static bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '-' || c == '_' || c == '.';
}

static bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= MaxNameLength
           && std::all_of(name.begin(), name.end(), isNameCharacter);
}

static bool isKeyHash(std::string_view text)
{
    const auto isLowerHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == KeyHashLength && std::all_of(text.begin(), text.end(), isLowerHex);
}

static std::string quote(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

static std::string elementName(const char *field, std::size_t index)
{
    return std::string(field) + "[" + std::to_string(index) + "]";
}

namespace {

class ObjectChecker
{
public:
    explicit ObjectChecker(const ObjectSet &objects) : m_set(objects) {}

    std::vector<ConfigFault> run()
    {
        visitTypes(*this, m_set);
        return std::move(m_faults);
    }

    template<typename Object>
    void type(const char *typeName, const std::map<std::string, Object> &objects)
    {
        for (const auto &[name, object] : objects) {
            m_object = std::string(typeName) + "/" + name;
            if (!isName(name))
                fault(ConfigFaultKind::BadName, "", "the name can't be used",
                      "use up to 63 letters, digits, '-', '_' and '.'");
            check(object);
        }
    }

private:
    void fault(ConfigFaultKind kind, std::string field, std::string problem, std::string remedy)
    {
        m_faults.push_back(ConfigFault{
                kind, {}, 0, m_object, std::move(field), std::move(problem), std::move(remedy)});
    }

    void badValue(const char *field, std::string problem, std::string remedy)
    {
        fault(ConfigFaultKind::BadValue, field, std::move(problem), std::move(remedy));
    }

    void checkRange(const char *field, double value, double least, double most)
    {
        if (!std::isfinite(value) || value < least || value > most)
            badValue(field, "out of range",
                     "set it between " + formatNumber(least) + " and " + formatNumber(most));
    }

    void checkDurationRange(const char *field, Duration value, Duration least, Duration most)
    {
        if (value < least || value > most)
            badValue(field, "out of range",
                     "set it between " + formatDuration(least) + " and " + formatDuration(most));
    }

    // A share of 0 sets no objective; a share of 1 tolerates no failure at all.
    void checkOpenShare(const char *field, double value)
    {
        if (!(value > 0 && value < 1))
            badValue(field, "out of range", "set it above 0 and below 1");
    }

    static std::string formatNumber(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.')
            text.pop_back();
        return text;
    }

    template<typename Object>
    bool checkReference(const std::string &field, const std::string &name, const char *typeName,
                        const std::map<std::string, Object> &objects)
    {
        if (objects.contains(name))
            return true;
        std::string remedy = "add [" + std::string(typeName) + "." + name + "]";
        const std::string near = closestName(name, objects);
        if (!near.empty())
            remedy += " or did you mean " + quote(near) + "?";
        fault(ConfigFaultKind::BrokenReference, field, "no " + quote(name) + " in " + typeName,
              std::move(remedy));
        return false;
    }

    template<typename Object>
    void checkOptionalReference(const char *field, const std::string &name, const char *typeName,
                                const std::map<std::string, Object> &objects)
    {
        if (!name.empty())
            checkReference(field, name, typeName, objects);
    }

    template<typename Object>
    static std::string closestName(const std::string &name,
                                   const std::map<std::string, Object> &objects)
    {
        constexpr std::size_t MaxDistance = 2;
        std::string best;
        std::size_t bestDistance = MaxDistance + 1;
        for (const auto &[candidate, object] : objects) {
            const std::size_t distance = editDistance(name, candidate);
            if (distance < bestDistance) {
                best = candidate;
                bestDistance = distance;
            }
        }
        return best;
    }

    static std::size_t editDistance(std::string_view from, std::string_view to)
    {
        std::vector<std::size_t> row(to.size() + 1);
        for (std::size_t j = 0; j <= to.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= from.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= to.size(); ++j) {
                const std::size_t replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
            }
        }
        return row.back();
    }

    void checkDuplicates(const char *field, const std::vector<std::string> &list)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < list.size(); ++i) {
            if (!seen.insert(list[i]).second)
                fault(ConfigFaultKind::Duplicate, elementName(field, i),
                      quote(list[i]) + " occurs twice", "remove one");
        }
    }

    void check(const PriorityObject &object)
    {
        checkRange("rank", object.rank, 0, MaxRank);
        checkDurationRange("max_hold", object.maxHold, Duration(0), MaxHold);
    }

    void check(const LimitObject &object)
    {
        checkRange("requests_per_second", object.requestsPerSecond, 0, MaxRate);
        checkRange("tokens_per_second", object.tokensPerSecond, 0, MaxRate);
        checkRange("streams", object.streams, 0, MaxStreams);
        if (object.requestsPerSecond == 0 && object.tokensPerSecond == 0 && object.streams == 0)
            fault(ConfigFaultKind::BadValue, "", "the limit sets no allowance",
                  "set requests_per_second, tokens_per_second or streams above 0");
    }

    void check(const ObjectiveObject &object)
    {
        checkDurationRange("first_token", object.firstToken, Duration(0), MaxDeadline);
        checkDurationRange("token_gap", object.tokenGap, Duration(0), MaxDeadline);
        checkDurationRange("stall", object.stall, Duration(0), MaxDeadline);
        checkOpenShare("share", object.share);
        checkOpenShare("whole_answers", object.wholeAnswers);
        const bool areBothSet = object.stall.count() > 0 && object.tokenGap.count() > 0;
        if (areBothSet && object.stall < object.tokenGap)
            badValue("stall", "shorter than token_gap", "set it to token_gap or longer");
    }

    void check(const ZoneObject &object)
    {
        if (!isName(object.region))
            fault(ConfigFaultKind::BadName, "region", "the region's name can't be used",
                  "use up to 63 letters, digits, '-', '_' and '.'");
    }

    void check(const PoolObject &object)
    {
        for (std::size_t i = 0; i < object.zones.size(); ++i)
            checkReference(elementName("zones", i), object.zones[i], "zones", m_set.zones);
        checkDuplicates("zones", object.zones);
        if (object.checksFencing && object.kind != TargetKind::Engine)
            badValue("checks_fencing", "only engines check fencing numbers", "remove it");
        if (object.checksKeys && object.kind != TargetKind::Plain)
            badValue("checks_keys", "engines do not support idempotency keys", "remove it");
    }

    void checkPoolReference(const std::string &name, TargetKind kind)
    {
        if (!checkReference("pool", name, "pools", m_set.pools)
            || m_set.pools.at(name).kind == kind)
            return;
        const std::string kindName(enumName(TargetKindNames, kind));
        fault(ConfigFaultKind::BrokenReference, "pool",
              quote(name) + " is not a pool of kind " + kindName,
              "name a pool whose kind is \"" + kindName + "\"");
    }

    void checkWeights(const std::string &weights, const std::string &version)
    {
        if (weights.empty())
            badValue("weights", "empty", "name the weights in the weight store");
        if (version.empty())
            badValue("version", "empty", "name the version of the weights");
    }

    void check(const ModelObject &object)
    {
        checkPoolReference(object.pool, TargetKind::Engine);
        checkWeights(object.weights, object.version);
        checkRange("context_tokens", object.contextTokens, 1, MaxContextTokens);
        checkRange("replicas", object.replicas, 1, MaxReplicas);
    }

    bool isInCycle(const std::string &adapter) const
    {
        std::set<std::string> seen;
        std::string name = adapter;
        while (seen.insert(name).second) {
            const auto it = m_set.adapters.find(name);
            if (it == m_set.adapters.end())
                return false;
            name = it->second.model;
        }
        return name == adapter;
    }

    void check(const AdapterObject &object)
    {
        if (isInCycle(object.name))
            fault(ConfigFaultKind::Cycle, "model", "the adapter refers back to itself",
                  "name the model that it is added to");
        else if (m_set.adapters.contains(object.model) && !m_set.models.contains(object.model))
            fault(ConfigFaultKind::BrokenReference, "model", quote(object.model) + " is an adapter",
                  "name the model that it is added to");
        else
            checkReference("model", object.model, "models", m_set.models);
        if (m_set.models.contains(object.name))
            fault(ConfigFaultKind::Duplicate, "", "a model has the same name",
                  "callers could not distinguish them; rename one");
        checkWeights(object.weights, object.version);
    }

    void check(const OrganisationObject &object)
    {
        if (object.keyHashes.empty())
            badValue("key_hashes", "no key: nobody could call", "add the SHA-256 of an API key");
        for (std::size_t i = 0; i < object.keyHashes.size(); ++i)
            checkKeyHash(elementName("key_hashes", i), object.keyHashes[i]);
        checkReference("priority", object.priority, "priorities", m_set.priorities);
        checkOptionalReference("limit", object.limit, "limits", m_set.limits);
        for (std::size_t i = 0; i < object.services.size(); ++i)
            checkReference(elementName("services", i), object.services[i], "services",
                           m_set.services);
        checkDuplicates("services", object.services);
    }

    void checkKeyHash(const std::string &field, const std::string &hash)
    {
        if (!isKeyHash(hash)) {
            fault(ConfigFaultKind::BadValue, field, "not a SHA-256 hash in lower-case hexadecimal",
                  "write the 64 digits of: printf %s KEY | sha256sum");
            return;
        }
        const auto [it, isNew] = m_keyHashes.emplace(hash, m_object);
        if (!isNew)
            fault(ConfigFaultKind::Duplicate, field, "the key is also assigned to " + it->second,
                  "give each organisation its own keys");
    }

    void check(const ServiceObject &object)
    {
        object.kind == ServiceKind::Plain ? checkPlain(object) : checkGeneration(object);
        checkOptionalReference("priority", object.priority, "priorities", m_set.priorities);
        checkOptionalReference("limit", object.limit, "limits", m_set.limits);
        checkOptionalReference("objective", object.objective, "objectives", m_set.objectives);
        checkDurationRange("deadline", object.deadline, std::chrono::milliseconds(1), MaxDeadline);
        checkDurationRange("key_window", object.keyWindow, std::chrono::seconds(1), MaxKeyWindow);
        checkRange("retry_share", object.retryShare, 0, 1);
    }

    void checkPlain(const ServiceObject &object)
    {
        checkPoolReference(object.pool, TargetKind::Plain);
        if (!object.models.empty())
            badValue("models", "a plain service serves no models", "remove it");
        for (std::size_t i = 0; i < object.idempotentMethods.size(); ++i)
            checkMethod(elementName("idempotent_methods", i), object.idempotentMethods[i]);
        checkDuplicates("idempotent_methods", object.idempotentMethods);
    }

    void checkMethod(const std::string &field, const std::string &method)
    {
        const auto end = RepeatableMethods.end();
        if (std::find(RepeatableMethods.begin(), end, method) == end)
            fault(ConfigFaultKind::BadValue, field, quote(method) + " can't be declared",
                  "name PUT, DELETE, OPTIONS, POST or PATCH; GET and HEAD always are idempotent");
    }

    void checkGeneration(const ServiceObject &object)
    {
        if (!object.pool.empty())
            badValue("pool", "a generation service names models instead", "remove it");
        if (!object.idempotentMethods.empty())
            badValue("idempotent_methods", "only plain services have methods", "remove it");
        if (object.models.empty())
            badValue("models", "the service has no models", "name a model or adapter");
        for (std::size_t i = 0; i < object.models.size(); ++i) {
            if (!m_set.adapters.contains(object.models[i]))
                checkReference(elementName("models", i), object.models[i], "models", m_set.models);
        }
        checkDuplicates("models", object.models);
    }

    const ObjectSet &m_set;
    std::string m_object; // Type and name of the object being checked.
    std::map<std::string, std::string> m_keyHashes;
    std::vector<ConfigFault> m_faults;
};

} // namespace

std::vector<ConfigFault> checkObjects(const ObjectSet &objects)
{
    return ObjectChecker(objects).run();
}

} // namespace currantwalk
