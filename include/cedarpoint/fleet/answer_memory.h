#pragma once

#include "cedarpoint/core/byte_account.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace cedarpoint {

/// Accounts the bytes of answers that a process holds until they are complete, and bounds them
/// together with the bytes that its callers have not read yet. A runner in trouble may send an
/// answer without end; a process that held all of it would exceed its memory, and all its requests
/// would end without an answer. When the bound is reached, answers of a known length are passed on
/// as they arrive, since they would be lost otherwise after they have run; of the others, which may
/// have no end, the largest is ended.
class answer_memory {
public:
    struct limits {
        std::size_t one_answer = std::size_t{16} << 20;  ///< size in bytes
        std::size_t all_answers = std::size_t{64} << 20; ///< bytes reserved
        /// Answers that hold less are neither passed on early nor worth it, in bytes.
        std::size_t least_passed_on = std::size_t{64} << 10;
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
        /// Names what passes the answer on as it arrives, if that is possible. It is called at most
        /// once, and the answer's bytes no longer count then.
        void set_pass_on(std::function<void()> pass_on) { pass_on_ = std::move(pass_on); }
        [[nodiscard]] std::size_t reserved() const { return reserved_; }

    private:
        friend class answer_memory;
        void release();

        answer_memory& owner_;
        excess_handler on_excess_;
        std::function<void()> pass_on_; ///< empty: the answer is held until it is complete
        std::uint64_t number_;          ///< in the order of creation
        std::size_t reserved_ = 0;
    };

    answer_memory() = default;
    /// `unwritten`: bytes that callers have not read yet; may be null, and must outlive this.
    explicit answer_memory(limits bounds, const byte_account* unwritten = nullptr)
        : limits_{bounds}, unwritten_{unwritten}
    {
    }
    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;
    ~answer_memory() = default;

    /// Returns false for an announced length that exceeds the bound of one answer.
    [[nodiscard]] bool may_hold(std::uint64_t length) const { return length <= limits_.one_answer; }
    /// Returns the bytes reserved now.
    [[nodiscard]] std::size_t held() const { return held_; }
    /// Returns true if the bound is reached, so that no more than needed is to be read ahead.
    [[nodiscard]] bool is_full() const { return held_ + unwritten() >= limits_.all_answers; }

private:
    void end(holder& its, std::string_view why);
    void pass_on(holder& its);
    [[nodiscard]] std::size_t unwritten() const
    {
        return unwritten_ == nullptr ? 0 : unwritten_->held();
    }
    /// Returns the holder of the most memory for which `is_eligible` returns true; of several the
    /// oldest; null if there is none.
    [[nodiscard]] holder* largest(bool (*is_eligible)(const holder&, const limits&)) const;

    limits limits_;
    const byte_account* unwritten_ = nullptr;
    std::map<std::uint64_t, holder*> holders_; ///< those with memory, by number
    std::size_t held_ = 0;
    std::uint64_t latest_number_ = 0;
};

} // namespace cedarpoint
