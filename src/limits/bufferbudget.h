#ifndef CURRANTWALK_LIMITS_BUFFERBUDGET_H
#define CURRANTWALK_LIMITS_BUFFERBUDGET_H

#include <cstddef>

namespace currantwalk {

/// The memory of a process for bytes that wait in it, shared by all that hold such bytes. While it
/// is used up, a holder may hold no more than an equal share; once it is used twice, no more than
/// LeastShare.
class BufferBudget
{
public:
    /// Any holder may hold this much.
    static constexpr std::size_t LeastShare = std::size_t{8} * 1024;

    /// A part of the budget in use; returned when it is destroyed, which the budget must outlive.
    class Holder
    {
    public:
        explicit Holder(BufferBudget &budget) : m_budget(budget) {}
        ~Holder() { resize(0); }
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        /// Notes that the holder now holds \a bytes. Returns whether it may.
        bool resize(std::size_t bytes);

    private:
        BufferBudget &m_budget;
        std::size_t m_bytes = 0;
    };

    explicit BufferBudget(std::size_t capacity) : m_capacity(capacity) {}

    void setCapacity(std::size_t capacity) { m_capacity = capacity; }
    std::size_t used() const { return m_used; }

private:
    std::size_t m_capacity;
    std::size_t m_used = 0;
    std::size_t m_holders = 0; ///< That hold anything.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_BUFFERBUDGET_H
