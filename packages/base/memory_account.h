// The memory that callers and upstreams can make an instance hold.

#ifndef POLLENRUDDER_BASE_MEMORY_ACCOUNT_H_
#define POLLENRUDDER_BASE_MEMORY_ACCOUNT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>

#include "base/boot_clock.h"

namespace pollenrudder {

// Bounds the sum of all charges of a process. A part of the limit is a reserve
// for charges of at most kOrdinaryBytes, so that messages of a usual size are
// accepted while large ones use up the rest.
//
// A charge that does not fit takes the memory of holders that have made no
// progress for longest: a large one only from holders without progress for
// kStallTime, an ordinary one from any. It is refused without effect if that
// does not suffice. Holders that wait for others are exempt.
//
// Has no clock and no sockets. Charges share the account, since operations of
// the event loop may end after everything else. The account may be used on any
// thread, a charge on one at a time.
class MemoryAccount {
 public:
  // A connection with a body of 64 KiB in chunks, which is counted twice
  // because it moves when it grows, with its head and the buffers.
  static constexpr std::size_t kOrdinaryBytes = 256 << 10;
  // Longer than the pauses of a caller that sends steadily over a slow link.
  static constexpr std::chrono::milliseconds kStallTime{500};

  // One whose memory can be taken.
  class Holder {
   public:
    virtual ~Holder() = default;

    // The charge is empty from now on. The holder frees the memory from its
    // event loop soon after, and changes no charge before it returns. Called on
    // the thread of the charge that takes the memory.
    virtual void OnReclaimed() = 0;
  };

  // A number of bytes of the account, returned when destroyed.
  class Charge {
   public:
    // Memory charged without a holder is never taken. `holder` must outlive the
    // charge.
    explicit Charge(std::shared_ptr<MemoryAccount> account,
                    Holder* holder = nullptr);
    ~Charge();
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    // Returns false and changes nothing if a larger charge does not fit.
    bool TryResize(std::size_t bytes, BootTime now);
    void Clear();
    // Records progress of the holder.
    void Touch(BootTime now);
    // Whether the memory may be taken, which is the default for a charge with a
    // holder. A holder that has waited for others is not taken for a stalled
    // one: its time without progress begins now.
    void SetReclaimable(bool reclaimable, BootTime now);
    // Meaningful on the thread of the charge, if nobody else takes memory.
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryAccount;

    // Requires the lock.
    void Release();

    const std::shared_ptr<MemoryAccount> account_;
    Holder* const holder_;
    std::atomic<std::size_t> bytes_ = 0;
    BootTime last_progress_{};
    // Invariant: false if the charge has no holder.
    bool reclaimable_;
    // Invariant: valid while the charge is reclaimable and not empty.
    std::list<Charge*>::iterator position_;
  };

  // Returns the account of a process that may use `memory_bytes`.
  static std::shared_ptr<MemoryAccount> ForProcess(std::size_t memory_bytes);
  // `limit_bytes` includes `reserve_bytes`.
  MemoryAccount(std::size_t limit_bytes, std::size_t reserve_bytes);
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Takes the memory of the holder without progress for longest. Returns false
  // if there is none.
  bool ReclaimStalest();

  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t limit_bytes() const { return limit_bytes_; }
  // The largest charge of an account that is otherwise empty.
  std::size_t largest_charge_bytes() const {
    return limit_bytes_ - reserve_bytes_;
  }
  // The largest body of a request that can be charged, with its header and the
  // buffers of its connection.
  std::size_t largest_body_bytes() const {
    return largest_charge_bytes() - kOrdinaryBytes;
  }
  std::uint64_t refused_count() const { return refused_count_; }

 private:
  // The following functions require the lock.
  //
  // Returns whether `growth` more bytes fit, after taking memory if necessary.
  bool MakeRoom(const Charge& charge, std::size_t growth, BootTime now);
  void Reclaim(Charge& charge);
  // Adds the charge to `reclaimable_`, with progress now.
  void AddReclaimable(Charge& charge, BootTime now);

  const std::size_t limit_bytes_;
  const std::size_t reserve_bytes_;
  // Guards everything below and the charges, which other threads may empty.
  // Only the atomic numbers are also read without it.
  std::mutex mutex_;
  std::atomic<std::size_t> used_bytes_ = 0;
  std::atomic<std::uint64_t> refused_count_ = 0;
  // The charges whose memory can be taken. Invariant: sorted by last progress.
  std::list<Charge*> reclaimable_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_MEMORY_ACCOUNT_H_
