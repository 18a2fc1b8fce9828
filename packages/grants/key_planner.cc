// KeyPlanner: a greedy planner that uses the measured load.

#include "grants/key_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace pollenrudder {
namespace {

// Load is relative to the capacity of an upstream: 1 is full capacity. Below
// this load, requests hardly queue, so no keys are moved for balance.
constexpr double kHighLoad = 0.8;
// The load difference that justifies the service interruption of a move. Well
// above the noise of samples of one second.
constexpr double kMinDifference = 0.4;
// Maximum number of moves for balance in one plan: kMaxMoves, or one per
// kUpstreamsPerMove upstreams if that is more.
constexpr std::size_t kMaxMoves = 6;
constexpr std::size_t kUpstreamsPerMove = 4;
// Minimum number of requests within the window for a range that is moved.
constexpr std::size_t kMinSamples = 3;
// Number of parts into which a row of a lost upstream is split.
constexpr std::uint32_t kLostUpstreamParts = 3;
// Load assumed for a key without any request in the window.
constexpr double kIdleKeyLoad = 0.3 / kKeyCount;

struct Candidate {
  KeyOwnerCandidate upstream;
  // Load per request per second.
  double load_per_rate = 0;
  double load = 0;
  std::uint32_t keys = 0;
};

// A row that may be moved, with the samples of its keys.
struct PlannedRow {
  KeyRange keys;
  std::size_t owner;
  std::vector<KeyNumber> samples;
};

class PlanBuilder {
 public:
  PlanBuilder(const KeyTable& table,
              const std::vector<KeyOwnerCandidate>& candidates,
              const std::vector<KeyRange>& pinned,
              KeyLoad& load,
              BootTime now)
      : span_(load.SampledDuration(now).count()),
        max_rows_(candidates.size() * KeyPlanner::kMaxRowsPerCandidate),
        row_count_(table.rows().size()) {
    for (const KeyOwnerCandidate& upstream : candidates) {
      candidates_.push_back(
          {upstream, load.ServiceTimeOf(upstream.incarnation.name).count() /
                         upstream.slots});
    }
    const std::vector<KeyNumber> samples = load.SortedKeys(now);
    for (const KeyAssignment& row : table.rows())
      AddRow(row, samples,
             std::ranges::binary_search(pinned, row.keys.first, {},
                                        &KeyRange::first));
    for (const KeyRange& gap : table.Gaps())
      unowned_.push_back({gap, Within(samples, gap)});
  }

  std::vector<KeyMove> Build() {
    if (candidates_.empty())
      return {};
    PlaceUnowned();
    FillEmptyUpstreams();
    Balance();
    return std::move(moves_);
  }

 private:
  struct UnownedRange {
    KeyRange keys;
    std::vector<KeyNumber> samples;
  };

  static std::vector<KeyNumber> Within(const std::vector<KeyNumber>& samples,
                                       KeyRange keys) {
    return {std::ranges::lower_bound(samples, keys.first),
            std::ranges::upper_bound(samples, keys.last)};
  }

  double LoadOf(const Candidate& candidate,
                KeyRange keys,
                std::size_t samples) const {
    return candidate.load_per_rate * static_cast<double>(samples) / span_ +
           kIdleKeyLoad * keys.size() / candidate.upstream.slots;
  }

  void AddRow(const KeyAssignment& row,
              const std::vector<KeyNumber>& samples,
              bool pinned) {
    std::vector<KeyNumber> own_samples = Within(samples, row.keys);
    const auto owner = std::ranges::find(
        candidates_, row.owner,
        [](const Candidate& known) { return known.upstream.incarnation; });
    if (owner == candidates_.end()) {
      unowned_.push_back({row.keys, std::move(own_samples)});
      return;
    }
    owner->load += LoadOf(*owner, row.keys, own_samples.size());
    owner->keys += row.keys.size();
    if (!row.moving && !pinned) {
      rows_.push_back({row.keys,
                       static_cast<std::size_t>(owner - candidates_.begin()),
                       std::move(own_samples)});
    }
  }

  // Returns the candidate whose load would be lowest with these keys added.
  std::size_t LeastLoadedFor(KeyRange keys, std::size_t samples) const {
    std::size_t best = 0;
    double best_load = 0;
    for (std::size_t index = 0; index < candidates_.size(); ++index) {
      const Candidate& candidate = candidates_[index];
      const double load = candidate.load + LoadOf(candidate, keys, samples);
      if (index == 0 || load < best_load) {
        best = index;
        best_load = load;
      }
    }
    return best;
  }

  void Move(KeyRange keys, std::size_t samples, std::size_t to) {
    Candidate& candidate = candidates_[to];
    candidate.load += LoadOf(candidate, keys, samples);
    candidate.keys += keys.size();
    moves_.push_back({keys, candidate.upstream.incarnation});
  }

  // Assigns keys without an owner. Splits large ranges, so that the load of a
  // lost upstream is distributed.
  void PlaceUnowned() {
    const auto keys_per_candidate = static_cast<std::uint32_t>(
        kKeyCount / std::max<std::size_t>(candidates_.size(), 1));
    for (const UnownedRange& row : unowned_) {
      std::uint32_t parts = 1;
      if (row.keys.size() > 2 * keys_per_candidate)
        parts = row.keys.size() / std::max(keys_per_candidate, 1U);
      else if (row.keys.size() >= keys_per_candidate / 2 &&
               row_count_ < max_rows_)
        parts = kLostUpstreamParts;
      std::uint32_t first = row.keys.first;
      for (std::uint32_t part = 0; part < parts; ++part) {
        const std::uint32_t last =
            part + 1 == parts
                ? row.keys.last
                : row.keys.first + row.keys.size() / parts * (part + 1) - 1;
        const KeyRange keys{static_cast<KeyNumber>(first),
                            static_cast<KeyNumber>(last)};
        const std::size_t samples = Within(row.samples, keys).size();
        Move(keys, samples, LeastLoadedFor(keys, samples));
        first = last + 1;
      }
    }
  }

  // Gives each upstream without keys half of the most loaded row that can be
  // split.
  void FillEmptyUpstreams() {
    for (std::size_t index = 0; index < candidates_.size(); ++index) {
      if (candidates_[index].keys > 0)
        continue;
      PlannedRow* best = nullptr;
      double best_load = 0;
      for (PlannedRow& row : rows_) {
        const double load =
            LoadOf(candidates_[row.owner], row.keys, row.samples.size()) +
            candidates_[row.owner].load;
        if (row.keys.size() > 1 && (best == nullptr || load > best_load)) {
          best = &row;
          best_load = load;
        }
      }
      if (best == nullptr)
        return;
      // Splits at half of the requests, or at half of the keys if there are few
      // requests.
      KeyNumber middle =
          static_cast<KeyNumber>(best->keys.first + best->keys.size() / 2 - 1);
      if (best->samples.size() >= 2 * kMinSamples) {
        middle = std::clamp<KeyNumber>(
            best->samples[best->samples.size() / 2], best->keys.first,
            static_cast<KeyNumber>(best->keys.last - 1));
      }
      MovePart(*best, {static_cast<KeyNumber>(middle + 1), best->keys.last},
               index);
    }
  }

  // Moves `keys`, a part of `row`, to another candidate. The rest of the row
  // stays available for further moves in this plan.
  void MovePart(PlannedRow& row, KeyRange keys, std::size_t to) {
    const std::size_t samples = Within(row.samples, keys).size();
    Candidate& from = candidates_[row.owner];
    from.load -= LoadOf(from, keys, samples);
    from.keys -= keys.size();
    Move(keys, samples, to);
    const KeyRange before{row.keys.first,
                          static_cast<KeyNumber>(keys.first - 1)};
    const KeyRange after{static_cast<KeyNumber>(keys.last + 1), row.keys.last};
    const bool has_before = keys.first > row.keys.first;
    const bool has_after = keys.last < row.keys.last;
    const PlannedRow old = row;
    std::erase_if(
        rows_, [&](const PlannedRow& other) { return other.keys == old.keys; });
    if (has_before)
      rows_.push_back({before, old.owner, Within(old.samples, before)});
    if (has_after)
      rows_.push_back({after, old.owner, Within(old.samples, after)});
    row_count_ += (has_before ? 1 : 0) + (has_after ? 1 : 0);
  }

  struct Piece {
    PlannedRow* row;
    KeyRange keys;
    std::size_t samples;
  };

  // Returns the densest range in the rows of `owner` that has about `wanted`
  // samples and does not overlap `excluded`.
  std::optional<Piece> DensestPiece(std::size_t owner,
                                    std::size_t wanted,
                                    std::optional<KeyRange> excluded = {}) {
    std::optional<Piece> best;
    double best_density = 0;
    for (PlannedRow& row : rows_) {
      if (row.owner != owner)
        continue;
      for (const KeyRange& part : PartsOf(row.keys, excluded)) {
        const std::vector<KeyNumber> own_samples = Within(row.samples, part);
        if (own_samples.size() < kMinSamples)
          continue;
        const std::size_t count = std::min(wanted, own_samples.size());
        for (std::size_t first = 0; first + count <= own_samples.size();
             ++first) {
          const KeyRange keys{own_samples[first],
                              own_samples[first + count - 1]};
          const std::size_t samples = Within(own_samples, keys).size();
          const double density =
              static_cast<double>(std::min(samples, wanted)) / keys.size() *
              static_cast<double>(count);
          if (!best || density > best_density) {
            best = Piece{&row, keys, samples};
            best_density = density;
          }
        }
      }
    }
    return best;
  }

  // Returns the parts of `keys` outside of `excluded`.
  static std::vector<KeyRange> PartsOf(KeyRange keys,
                                       std::optional<KeyRange> excluded) {
    if (!excluded || !keys.Overlaps(*excluded))
      return {keys};
    std::vector<KeyRange> parts;
    if (excluded->first > keys.first)
      parts.push_back(
          {keys.first, static_cast<KeyNumber>(excluded->first - 1)});
    if (excluded->last < keys.last)
      parts.push_back({static_cast<KeyNumber>(excluded->last + 1), keys.last});
    return parts;
  }

  // Moves keys from one upstream to another if that reduces the difference of
  // their loads.
  bool MoveLoad(std::size_t from, std::size_t to) {
    const Candidate& high = candidates_[from];
    const Candidate& low = candidates_[to];
    // The request rate to move for equal loads.
    const double rate =
        (high.load - low.load) / (high.load_per_rate + low.load_per_rate);
    const auto wanted = std::max(
        kMinSamples, static_cast<std::size_t>(std::round(rate * span_)));
    const auto is_worth_it = [&](const std::optional<Piece>& piece) {
      return piece && low.load + LoadOf(low, piece->keys, piece->samples) <=
                          high.load - kMinDifference / 4;
    };
    std::optional<Piece> piece = DensestPiece(from, wanted);
    // The load of a single key may exceed the capacity of any upstream. Such a
    // key keeps its owner, and other keys of that owner are moved.
    if (piece && !is_worth_it(piece))
      piece = DensestPiece(from, wanted, piece->keys);
    if (!is_worth_it(piece))
      return false;
    MovePart(*piece->row, piece->keys, to);
    return true;
  }

  void Balance() {
    const std::size_t moves_before = moves_.size();
    const std::size_t max_moves =
        std::max(kMaxMoves, candidates_.size() / kUpstreamsPerMove);
    // Upstreams whose load cannot be reduced.
    std::vector<bool> exhausted(candidates_.size());
    while (moves_.size() < moves_before + max_moves && row_count_ < max_rows_) {
      std::optional<std::size_t> high;
      std::size_t low = 0;
      for (std::size_t index = 0; index < candidates_.size(); ++index) {
        if (candidates_[index].load < candidates_[low].load)
          low = index;
        if (!exhausted[index] &&
            (!high || candidates_[index].load > candidates_[*high].load))
          high = index;
      }
      if (!high || candidates_[*high].load < kHighLoad ||
          candidates_[*high].load - candidates_[low].load < kMinDifference)
        return;
      if (!MoveLoad(*high, low))
        exhausted[*high] = true;
    }
  }

  const double span_;
  const std::size_t max_rows_;
  std::size_t row_count_;
  std::vector<Candidate> candidates_;
  std::vector<PlannedRow> rows_;
  std::vector<UnownedRange> unowned_;
  std::vector<KeyMove> moves_;
};

}  // namespace

std::vector<KeyMove> KeyPlanner::Plan(
    const KeyTable& table,
    const std::vector<KeyOwnerCandidate>& candidates,
    const std::vector<KeyRange>& pinned,
    KeyLoad& load,
    BootTime now) {
  return PlanBuilder(table, candidates, pinned, load, now).Build();
}

}  // namespace pollenrudder
