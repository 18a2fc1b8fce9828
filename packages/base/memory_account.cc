// MemoryAccount: a sum and a list of charges in order of progress.

#include "base/memory_account.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {
namespace {

// What a process takes without messages: 20 MB were measured with a large list
// of upstreams.
constexpr std::size_t kProcessBytes = 24 << 20;
// The part of the rest that is not charged, for copies during a call, memory of
// connections that are being closed, and gaps in the heap.
constexpr std::size_t kUnchargedDivisor = 4;
// The part of the memory that is reserved for ordinary messages. It leaves room
// for a body of 64 MiB in a process of 120 MiB.
constexpr std::size_t kReserveDivisor = 16;
constexpr std::size_t kMinReserveBytes = 2 << 20;

}  // namespace

MemoryAccount::Charge::Charge(std::shared_ptr<MemoryAccount> account,
                              Holder* holder)
    : account_(std::move(account)),
      holder_(holder),
      reclaimable_(holder != nullptr) {}

MemoryAccount::Charge::~Charge() {
  Clear();
}

bool MemoryAccount::Charge::TryResize(std::size_t bytes, BootTime now) {
  const std::lock_guard lock(account_->mutex_);
  if (bytes == 0) {
    Release();
    return true;
  }
  if (bytes > bytes_ && !account_->MakeRoom(*this, bytes - bytes_, now)) {
    ++account_->refused_count_;
    return false;
  }
  account_->used_bytes_ += bytes - bytes_;
  if (bytes_ == 0 && reclaimable_)
    account_->AddReclaimable(*this, now);
  bytes_ = bytes;
  return true;
}

void MemoryAccount::Charge::Clear() {
  const std::lock_guard lock(account_->mutex_);
  Release();
}

void MemoryAccount::Charge::Release() {
  if (bytes_ == 0)
    return;
  account_->used_bytes_ -= bytes_.exchange(0);
  if (reclaimable_)
    account_->reclaimable_.erase(position_);
}

void MemoryAccount::Charge::Touch(BootTime now) {
  const std::lock_guard lock(account_->mutex_);
  if (!reclaimable_ || bytes_ == 0)
    return;
  last_progress_ = now;
  account_->reclaimable_.splice(account_->reclaimable_.end(),
                                account_->reclaimable_, position_);
}

void MemoryAccount::Charge::SetReclaimable(bool reclaimable, BootTime now) {
  assert(holder_ != nullptr);
  const std::lock_guard lock(account_->mutex_);
  if (reclaimable == reclaimable_)
    return;
  reclaimable_ = reclaimable;
  if (bytes_ == 0)
    return;
  if (reclaimable)
    account_->AddReclaimable(*this, now);
  else
    account_->reclaimable_.erase(position_);
}

MemoryAccount::MemoryAccount(std::size_t limit_bytes, std::size_t reserve_bytes)
    : limit_bytes_(limit_bytes), reserve_bytes_(reserve_bytes) {
  assert(reserve_bytes <= limit_bytes);
}

std::shared_ptr<MemoryAccount> MemoryAccount::ForProcess(
    std::size_t memory_bytes) {
  const std::size_t for_messages =
      memory_bytes - std::min(kProcessBytes, memory_bytes / 2);
  return std::make_shared<MemoryAccount>(
      for_messages - for_messages / kUnchargedDivisor,
      std::max(memory_bytes / kReserveDivisor, kMinReserveBytes));
}

bool MemoryAccount::MakeRoom(const Charge& charge,
                             std::size_t growth,
                             BootTime now) {
  const bool is_ordinary = charge.bytes_ + growth <= kOrdinaryBytes;
  const std::size_t limit =
      is_ordinary ? limit_bytes_ : limit_bytes_ - reserve_bytes_;
  if (used_bytes_ + growth <= limit)
    return true;
  const std::size_t excess = used_bytes_ + growth - limit;
  std::size_t found = 0;
  std::list<Charge*> victims;
  for (Charge* candidate : reclaimable_) {
    if (found >= excess ||
        (!is_ordinary && now - candidate->last_progress_ < kStallTime))
      break;
    if (candidate == &charge)
      continue;
    found += candidate->bytes_;
    victims.push_back(candidate);
  }
  if (found < excess)
    return false;
  for (Charge* victim : victims)
    Reclaim(*victim);
  return true;
}

bool MemoryAccount::ReclaimStalest() {
  const std::lock_guard lock(mutex_);
  if (reclaimable_.empty())
    return false;
  Reclaim(*reclaimable_.front());
  return true;
}

void MemoryAccount::AddReclaimable(Charge& charge, BootTime now) {
  charge.last_progress_ = now;
  charge.position_ = reclaimable_.insert(reclaimable_.end(), &charge);
}

void MemoryAccount::Reclaim(Charge& charge) {
  charge.Release();
  charge.holder_->OnReclaimed();
}

}  // namespace pollenrudder
