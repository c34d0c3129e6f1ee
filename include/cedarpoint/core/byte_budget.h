#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace cedarpoint {

/// Bounds the bytes that a process reserves for one purpose, such as the bodies of requests. Those
/// for whom no bytes are left wait, and get them in the order of their arrival.
///
/// Small reservations have a part of the budget to themselves, so that they go on while large ones
/// wait.
class byte_budget {
    struct state;

public:
    struct limits {
        std::size_t all = 0;       ///< bytes of all reservations
        std::size_t for_large = 0; ///< bytes up to which large reservations are granted
        std::size_t small = 0;     ///< reservations of up to this size in bytes are small
    };

    /// Reserved bytes, given back when this is destroyed. May outlive the budget.
    class reservation {
    public:
        reservation() = default;
        ~reservation();
        reservation(reservation&& other) noexcept;
        reservation& operator=(reservation&& other) noexcept;
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        [[nodiscard]] std::size_t size() const { return bytes_; }
        /// Adds the bytes of another reservation of the same budget.
        void merge(reservation other);

    private:
        friend class byte_budget;
        reservation(std::shared_ptr<state> owner, std::size_t bytes);
        void release();

        std::shared_ptr<state> owner_;
        std::size_t bytes_ = 0;
    };

    using grant_handler = std::function<void(reservation)>;

    /// A place in the queue, given up when this is destroyed.
    class waiter {
    public:
        ~waiter();
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

    private:
        friend class byte_budget;
        waiter(std::shared_ptr<state> owner, std::uint64_t number);

        std::shared_ptr<state> owner_;
        std::uint64_t number_;
    };

    explicit byte_budget(limits bounds);
    ~byte_budget();
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    /// Makes `out` reserve `bytes` in sum. Returns false, and changes nothing, if the budget is
    /// used up or others of this size wait already.
    [[nodiscard]] bool try_grow(reservation& out, std::size_t bytes);
    /// Waits for `bytes`. `on_grant` is called once, within the destructor of another reservation,
    /// and must not change the budget.
    [[nodiscard]] std::unique_ptr<waiter> wait(std::size_t bytes, grant_handler on_grant);

    [[nodiscard]] std::size_t reserved() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    std::shared_ptr<state> state_;
};

} // namespace cedarpoint
