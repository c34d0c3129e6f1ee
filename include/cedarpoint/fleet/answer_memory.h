#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace cedarpoint {

/// Accounts the bytes of answers that a process holds until they are complete, and bounds them. A
/// runner in trouble may send an answer without end; a process that held all of it would exceed its
/// memory, and all its requests would end without an answer.
class answer_memory {
public:
    struct limits {
        std::size_t one_answer = std::size_t{16} << 20;  ///< size in bytes
        std::size_t all_answers = std::size_t{64} << 20; ///< bytes reserved
    };
    /// Called with the reason when an answer must not be held any longer. Its bytes no longer count
    /// then, so its owner discards them. May destroy any holder.
    using excess_handler = std::function<void(std::string_view why)>;

    /// Counts the bytes of one answer until it is destroyed.
    class holder {
    public:
        /// `owner` must outlive the holder.
        holder(answer_memory& owner, excess_handler on_excess);
        ~holder();
        holder(const holder&) = delete;
        holder& operator=(const holder&) = delete;

        /// Sets the answer's size and the bytes of memory reserved for it, which may be twice as
        /// many while it grows. If a bound is exceeded then, ends this answer or the ones that hold
        /// the most memory.
        void set(std::size_t size, std::size_t reserved);
        [[nodiscard]] std::size_t reserved() const { return reserved_; }

    private:
        friend class answer_memory;
        void release();

        answer_memory& owner_;
        excess_handler on_excess_;
        std::uint64_t number_; ///< in the order of creation
        std::size_t reserved_ = 0;
    };

    answer_memory() = default;
    explicit answer_memory(limits bounds) : limits_{bounds} {}
    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;
    ~answer_memory() = default;

    /// Returns false for an announced length that exceeds the bound of one answer.
    [[nodiscard]] bool may_hold(std::uint64_t length) const { return length <= limits_.one_answer; }
    /// Returns the bytes reserved now.
    [[nodiscard]] std::size_t held() const { return held_; }

private:
    void end(holder& its, std::string_view why);
    /// Returns the holder of the most memory; of several the oldest. Precondition: there is one.
    [[nodiscard]] holder& largest() const;

    limits limits_;
    std::map<std::uint64_t, holder*> holders_; ///< those with memory, by number
    std::size_t held_ = 0;
    std::uint64_t latest_number_ = 0;
};

} // namespace cedarpoint
