#ifndef CURRANTWALK_ROUTING_LENGTHESTIMATOR_H
#define CURRANTWALK_ROUTING_LENGTHESTIMATOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace currantwalk {

/// Estimates the share of answers longer than a given length from completed answers. Older answers
/// lose weight as new ones are added.
class SurvivalCurve
{
public:
    void learn(std::uint32_t tokens);
    /// Returns the share of answers longer than \a tokens. \pre weight() > 0
    double longerThan(double tokens) const;
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t Edges = 26;

    std::array<double, Edges> m_counts{};
    std::array<double, Edges> m_shares{}; // Share of answers longer than each edge.
    double m_weight = 0;
};

/// Estimates answer lengths by service and organisation. State is bounded: the least recently
/// updated entry is evicted first.
class LengthEstimator
{
public:
    explicit LengthEstimator(std::size_t limit = 4096) : m_limit(limit) {}

    /// The estimates for one service and organisation. Valid until the next call of learn().
    class View
    {
    public:
        /// Returns the probability that an answer is longer than \a tokens.
        double longerThan(double tokens) const;
        /// Returns the expected length of an answer in tokens.
        double mean() const;

    private:
        friend class LengthEstimator;
        const SurvivalCurve *m_service = nullptr;
        const SurvivalCurve *m_organisation = nullptr;
    };

    View view(const std::string &service, const std::string &organisation) const;
    /// Records the length of a completed answer.
    void learn(const std::string &service, const std::string &organisation, std::uint32_t tokens);
    std::size_t size() const { return m_curves.size(); }

private:
    struct Entry
    {
        SurvivalCurve curve;
        std::list<std::string>::iterator recency;
    };

    SurvivalCurve &findOrCreate(const std::string &key);
    const SurvivalCurve *find(const std::string &key) const;

    std::size_t m_limit;
    std::unordered_map<std::string, Entry> m_curves;
    std::list<std::string> m_recency; // Most recently updated first.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_LENGTHESTIMATOR_H
