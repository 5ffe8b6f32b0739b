#pragma once

#include <atomic>
#include <cstdint>
#include <utility>

/// @file
/// Limits the total memory of several buffers, such as the bodies of requests and the responses that clients make a VM hold.
///
/// Example:
/// @code
///   ByteBudget budget(8U << 20U);
///   ByteLease lease(budget);
///   if (!lease.grow(body.size())) { ... } // The budget is exhausted.
/// @endcode

namespace daisystream
{

/// Limit on the sum of the bytes of all its leases. Thread-safe. Must outlive its leases.
class ByteBudget
{
public:
    /// Largest lease that may use the reserve.
    static constexpr std::uint64_t kSmallLease = 65'536;

    /// @param limit maximum number of bytes of all leases together.
    /// @param reserve bytes of the limit that only leases of up to `kSmallLease` may use, so that large ones never shut small ones out.
    explicit ByteBudget(std::uint64_t limit, std::uint64_t reserve = 0)
        : limit_(limit)
        , reserve_(reserve)
    {
    }

    [[nodiscard]] std::uint64_t limit() const
    {
        return limit_;
    }

    /// @return whether large leases have used up their part.
    [[nodiscard]] bool isCrowded() const
    {
        return held_ + reserve_ >= limit_;
    }

    /// @return the number of bytes of all leases together.
    [[nodiscard]] std::uint64_t held() const
    {
        return held_;
    }

private:
    friend class ByteLease;

    const std::uint64_t limit_;
    const std::uint64_t reserve_;
    std::atomic<std::uint64_t> held_{0};
};

/// Part of a budget that one buffer uses; the destructor returns it. Thread-compatible.
class ByteLease
{
public:
    /// Creates a lease without a budget, which is unlimited.
    ByteLease() = default;

    explicit ByteLease(ByteBudget &budget)
        : budget_(&budget)
    {
    }

    ~ByteLease()
    {
        release();
    }

    ByteLease(const ByteLease &) = delete;
    ByteLease &operator=(const ByteLease &) = delete;

    ByteLease(ByteLease &&other) noexcept
        : budget_(std::exchange(other.budget_, nullptr))
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }

    ByteLease &operator=(ByteLease &&other) noexcept
    {
        if (this != &other) {
            release();
            budget_ = std::exchange(other.budget_, nullptr);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }

    /// Raises the size of the lease to `bytes`; a smaller value changes nothing.
    /// @return whether the budget has room for it; if not, the lease keeps its size.
    [[nodiscard]] bool grow(std::uint64_t bytes)
    {
        if (budget_ == nullptr || bytes <= bytes_) {
            return true;
        }
        const auto more = bytes - bytes_;
        const auto keptFree = bytes > ByteBudget::kSmallLease ? budget_->reserve_ : 0;
        if (budget_->held_.fetch_add(more) + more + keptFree > budget_->limit_) {
            budget_->held_ -= more;
            return false;
        }
        bytes_ = bytes;
        return true;
    }

    /// Lowers the size of the lease to `bytes`; a larger value changes nothing.
    void shrink(std::uint64_t bytes)
    {
        if (budget_ != nullptr && bytes < bytes_) {
            budget_->held_ -= bytes_ - bytes;
            bytes_ = bytes;
        }
    }

    /// @return the size of the lease; 0 without a budget.
    [[nodiscard]] std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    void release()
    {
        if (budget_ != nullptr) {
            budget_->held_ -= bytes_;
        }
    }

    ByteBudget *budget_ = nullptr;
    std::uint64_t bytes_ = 0;
};

} // namespace daisystream
