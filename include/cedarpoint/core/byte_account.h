#pragma once

#include <cstddef>
#include <utility>

namespace cedarpoint {

/// Sums the bytes that several owners hold. Does not bound them.
class byte_account {
public:
    /// What one owner holds; taken off the account when it is destroyed.
    class share {
    public:
        /// `account` must outlive the share.
        explicit share(byte_account& account) : account_{account} {}
        ~share() { set(0); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        void set(std::size_t bytes) { account_.held_ += bytes - std::exchange(bytes_, bytes); }

    private:
        byte_account& account_;
        std::size_t bytes_ = 0;
    };

    byte_account() = default;
    byte_account(const byte_account&) = delete;
    byte_account& operator=(const byte_account&) = delete;
    ~byte_account() = default;

    [[nodiscard]] std::size_t held() const { return held_; }

private:
    std::size_t held_ = 0;
};

} // namespace cedarpoint
