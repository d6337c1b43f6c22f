#ifndef CURRANTWALK_ROUTING_LENGTHESTIMATOR_H
#define CURRANTWALK_ROUTING_LENGTHESTIMATOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace currantwalk {

/// The share of answers that grow longer than a given length, learnt from whole answers. Old
/// answers lose weight as new ones come.
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
    std::array<double, Edges> m_shares{}; // Longer than each edge.
    double m_weight = 0;
};

/// Learns how long answers grow, by service and by organisation. State is bounded: what was used
/// least recently is forgotten first.
class LengthEstimator
{
public:
    explicit LengthEstimator(std::size_t limit = 4096) : m_limit(limit) {}

    /// What is known for one service and organisation; valid until the next learn().
    class View
    {
    public:
        /// Returns the probability that an answer grows beyond \a tokens.
        double longerThan(double tokens) const;
        /// Returns the expected length of an answer.
        double mean() const;

    private:
        friend class LengthEstimator;
        const SurvivalCurve *m_service = nullptr;
        const SurvivalCurve *m_organisation = nullptr;
    };

    View view(const std::string &service, const std::string &organisation) const;
    /// Takes in the length of a whole answer.
    void learn(const std::string &service, const std::string &organisation, std::uint32_t tokens);
    std::size_t size() const { return m_curves.size(); }

private:
    struct Entry
    {
        SurvivalCurve curve;
        std::list<std::string>::iterator use;
    };

    SurvivalCurve &curveToLearn(const std::string &key);
    const SurvivalCurve *find(const std::string &key) const;

    std::size_t m_limit;
    std::unordered_map<std::string, Entry> m_curves;
    std::list<std::string> m_uses; // Most recently learnt first.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_LENGTHESTIMATOR_H
