// The preconditions of `term` records. They depend on the log alone, so that
// every instance that replays it gets the same terms.

#ifndef POLLENRUDDER_OWNERSHIP_TERM_RULES_H_
#define POLLENRUDDER_OWNERSHIP_TERM_RULES_H_

#include <chrono>
#include <string>
#include <string_view>

#include "document/document.h"
#include "ownership/lease_durations.h"
#include "ownership/log_record.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// Whether the section of `service` declares the instance or its availability
// zone lost. The section may name the instance with or without its incarnation.
bool IsDeclaredLost(const Document& document,
                    std::string_view service,
                    std::string_view instance,
                    std::string_view zone);

// Whether `claimant` may reclaim the term: an instance of another zone claimed
// it from `claimant` and the term is not active yet, so the zone was only cut
// off. A leader serves only after it has read its own `active` record. The log
// orders that record and the reclaim, and only the first takes effect.
bool MayReclaim(const Document& document,
                const TermState& current,
                std::string_view claimant);

// Whether `claimant` may replace `current` with a `declared_lost` claim: the
// leader of `current` is declared lost, or `claimant` leads `current`, which is
// not active yet, and the leader that it waits for is declared lost.
bool MayClaimDeclaredLost(const Document& document,
                          const TermState& current,
                          std::string_view claimant);

// Returns the shortest permitted wait of a claim that replaces `current`.
// `kind` is kClaim or kDeclaredLost.
std::chrono::nanoseconds RequiredWait(const LeaseDurations& durations,
                                      const Document& document,
                                      const TermState& current,
                                      std::string_view claimant,
                                      std::string_view claimant_zone,
                                      TermKind kind);

// Checks an entry written by the instance `by` against the current term of its
// upstream, null if there is none. Returns the reason why the entry is ignored,
// or an empty string if it takes effect. The result depends only on the
// arguments, because all instances that replay the log must agree on it.
std::string CheckTermEntry(const LeaseDurations& durations,
                           const Document& document,
                           const TermState* current,
                           const TermEntry& entry,
                           std::string_view by);

// Returns the term that a valid entry creates at log offset `offset`.
TermState MakeTerm(const TermState* current,
                   const TermEntry& entry,
                   LogOffset offset,
                   const std::string& record_id);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_RULES_H_
