// The conditions under which a `term` record takes effect.

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

// Whether the section of `service` declares the instance or the zone lost. An
// instance may be declared with or without its incarnation.
bool IsDeclaredLost(const Document& document,
                    std::string_view service,
                    std::string_view instance,
                    std::string_view zone);

// Whether `claimant` may claim back the term that an instance of another zone
// claimed from it and that is not yet active: the zone was only cut off. A
// leader serves only after it has read its own `active` record, so the log
// orders that record and the claim back, and only one of them takes effect.
bool MayReclaim(const Document& document,
                const TermState& current,
                std::string_view claimant);

// Whether a `declared_lost` claim by `claimant` over `current` is allowed: its
// leader is declared lost, or `claimant` leads it, it is not yet active, and
// the leader that it waits for is declared lost.
bool MayClaimDeclaredLost(const Document& document,
                          const TermState& current,
                          std::string_view claimant);

// The shortest wait of a claim by an instance in `claimant_zone` over
// `current`. `kind` is kClaim or kDeclaredLost.
std::chrono::nanoseconds RequiredWait(const LeaseDurations& durations,
                                      const Document& document,
                                      const TermState& current,
                                      std::string_view claimant,
                                      std::string_view claimant_zone,
                                      TermKind kind);

// Checks an entry written by `by` against the current term of its upstream,
// null if there is none. Returns why the entry is ignored, or an empty string
// if it takes effect. Every instance that replays the log must come to the same
// answer, so this depends on nothing but its arguments.
std::string CheckTermEntry(const LeaseDurations& durations,
                           const Document& document,
                           const TermState* current,
                           const TermEntry& entry,
                           std::string_view by);

// Returns the term that a valid entry creates at `offset`.
TermState MakeTerm(const TermState* current,
                   const TermEntry& entry,
                   LogOffset offset,
                   const std::string& record_id);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_RULES_H_
