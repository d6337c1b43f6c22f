#include "routing/lengthestimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace currantwalk {

static constexpr double FirstEdge = 8;      // Tokens; there are two edges per octave.
static constexpr double MaxWeight = 400;    // Answers; above this, all counts are halved.
static constexpr double ServiceWeight = 20; // Weight of the service estimate, in answers.
static constexpr double PriorWeight = 5;    // Weight of the prior, in answers.
static constexpr double PriorMean = 512;    // Tokens per answer without any observations.

// Returns the fractional index on the scale of edges, which has two edges per octave. Interpolates
// linearly within an octave because a logarithm would dominate the cost of a routing decision.
static double edgePosition(double tokens)
{
    if (tokens <= FirstEdge)
        return 0;
    int exponent = 0;
    const double mantissa = std::frexp(tokens / FirstEdge, &exponent);
    return 2 * (exponent - 1 + 2 * mantissa - 1);
}

void SurvivalCurve::learn(std::uint32_t tokens)
{
    const double position = std::ceil(edgePosition(tokens));
    m_counts[std::min(Edges - 1, static_cast<std::size_t>(position))] += 1;
    m_weight += 1;
    if (m_weight > MaxWeight) {
        for (double &count : m_counts)
            count /= 2;
        m_weight /= 2;
    }
    double longer = m_weight;
    for (std::size_t i = 0; i < Edges; ++i) {
        longer -= m_counts[i];
        m_shares[i] = std::max(0.0, longer / m_weight);
    }
}

double SurvivalCurve::longerThan(double tokens) const
{
    if (tokens < FirstEdge)
        return 1 + (m_shares[0] - 1) * std::max(0.0, tokens) / FirstEdge;
    const double position = edgePosition(tokens);
    const auto edge = static_cast<std::size_t>(position);
    if (edge + 1 >= Edges)
        return 0;
    const double part = position - static_cast<double>(edge);
    return m_shares[edge] + (m_shares[edge + 1] - m_shares[edge]) * part;
}

// Estimates with few answers are shrunk: an organisation's towards its service's, and a service's
// towards the prior.
double LengthEstimator::View::longerThan(double tokens) const
{
    const double means = std::max(0.0, tokens) / PriorMean;
    double share = 1 / (1 + means + means * means / 2);
    if (m_service != nullptr) {
        const double weight = m_service->weight();
        share = (share * PriorWeight + m_service->longerThan(tokens) * weight)
                / (PriorWeight + weight);
    }
    if (m_organisation != nullptr) {
        const double weight = m_organisation->weight();
        share = (share * ServiceWeight + m_organisation->longerThan(tokens) * weight)
                / (ServiceWeight + weight);
    }
    return share;
}

double LengthEstimator::View::mean() const
{
    constexpr int Octaves = 12; // From FirstEdge to 32,768 tokens.
    double sum = 0;
    double last = 0;
    double edge = FirstEdge;
    for (int octave = 0; octave <= Octaves; ++octave) {
        sum += (edge - last) * longerThan((edge + last) / 2);
        last = edge;
        edge *= 2;
    }
    return sum;
}

static std::string organisationKey(const std::string &service, const std::string &organisation)
{
    return service + '\n' + organisation;
}

const SurvivalCurve *LengthEstimator::find(const std::string &key) const
{
    const auto it = m_curves.find(key);
    return it == m_curves.end() ? nullptr : &it->second.curve;
}

LengthEstimator::View LengthEstimator::view(const std::string &service,
                                            const std::string &organisation) const
{
    View view;
    view.m_service = find(service);
    view.m_organisation = find(organisationKey(service, organisation));
    return view;
}

SurvivalCurve &LengthEstimator::findOrCreate(const std::string &key)
{
    const auto it = m_curves.find(key);
    if (it != m_curves.end()) {
        m_recency.splice(m_recency.begin(), m_recency, it->second.recency);
        return it->second.curve;
    }
    if (m_curves.size() >= m_limit) {
        m_curves.erase(m_recency.back());
        m_recency.pop_back();
    }
    m_recency.push_front(key);
    Entry &entry = m_curves[key];
    entry.recency = m_recency.begin();
    return entry.curve;
}

void LengthEstimator::learn(const std::string &service, const std::string &organisation,
                            std::uint32_t tokens)
{
    findOrCreate(organisationKey(service, organisation)).learn(tokens);
    findOrCreate(service).learn(tokens);
    assert(m_curves.size() <= m_limit && "state is bounded");
}

} // namespace currantwalk
