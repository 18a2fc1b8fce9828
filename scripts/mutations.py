"""The mutations of scripts/mutate: each removes one safety rule."""

import dataclasses

OWNERSHIP = "packages/ownership/"


@dataclasses.dataclass
class Mutation:
    name: str
    meaning: str
    # (file, old text, new text); the old text occurs once.
    edits: list
    # The test program, and the test case if not all of it.
    target: str = "lease_property_test"
    case: str = "an upstream never has two valid leases"


MUTATIONS = [
    Mutation(
        "wait",
        "a claimant is active as soon as it has read its claim",
        [(OWNERSHIP + "leader_lease.cc",
          "active_from_ = read_at + term_.wait;",
          "active_from_ = read_at;")]),
    Mutation(
        "clock-rate-bound",
        "waits are not lengthened for faster clocks",
        [(OWNERSHIP + "lease_durations.h",
          "(1.0 + max_clock_drift)", "1.0")],
        # 1% of a lease is too short for random runs: none of 15,000 showed it.
        target="leadership_test", case=""),
    Mutation(
        "all-voters",
        "a lease needs the promise of one zone peer and one far voter only",
        [(OWNERSHIP + "leader_lease.cc",
          "      oldest.reset();\n      return false;", "      return true;")]),
    Mutation(
        "zone-peers-without-hold",
        "promises of zone peers keep a lease without a bound",
        [(OWNERSHIP + "leader_lease.cc",
          "std::min(same_zone_end, *last_contact + IsolationHold())",
          "same_zone_end")]),
    Mutation(
        "promise-lapse",
        "a voter claims while its promise runs",
        [(OWNERSHIP + "claim_tracker.cc",
          "    earliest = std::max(earliest, *view.own_promise_expiry);",
          "    earliest = read_at->second;"),
         (OWNERSHIP + "leader_lease.cc",
          "active_from_ = std::max(active_from_, *own_promise_expiry);",
          "active_from_ = std::max(active_from_, read_at);")]),
    Mutation(
        "foreign-hold",
        "a claim from another zone waits as short as one of a zone peer",
        [(OWNERSHIP + "claim_tracker.cc",
          "lease = std::max(lease, replaced.isolation_hold);", "")]),
    Mutation(
        "inherit-wait",
        "a claim over a term that never was active doesn't take over its wait",
        [(OWNERSHIP + "claim_tracker.cc",
          "  if (!replaced.active)\n    wait = std::max(wait, replaced.wait);",
          "")]),
    Mutation(
        "unresolved",
        "a voter promises while its claim is unresolved",
        [(OWNERSHIP + "voter_promises.cc",
          "if (view.claim_unresolved)", "if (false)")]),
    Mutation(
        "newer-term-known",
        "a voter promises a term that it knows to be replaced",
        [(OWNERSHIP + "voter_promises.cc",
          "  return requested.term != kNoOffset && "
          "view.current->term < requested.term;",
          "  return true;")]),
    Mutation(
        "voters-only",
        "any instance may claim",
        [(OWNERSHIP + "claim_tracker.cc",
          "if (!IsVoter(current) || read_at", "if (read_at"),
         (OWNERSHIP + "lease_model_table_test.cc",
          "term.kind == TermKind::kClaim &&", "false &&")]),
    Mutation(
        "revise-old-voters",
        "an unresolved revise needs the new voters only",
        [(OWNERSHIP + "leader_lease.cc",
          "  for (const Voter& voter : term_.voters) {\n    if (!visit(voter))",
          "  for (const Voter& voter : term_.voters) {\n"
          "    if (!pending_revision_ && !visit(voter))"),
         (OWNERSHIP + "leader_lease.cc",
          "if (!IsCurrentVoter(voter) && !visit(voter))",
          "if (!visit(voter))")]),
    Mutation(
        "revise-new-voters",
        "an unresolved revise needs the old voters only",
        [(OWNERSHIP + "leader_lease.cc",
          "  if (!pending_revision_)\n    return;\n", "  return;\n")]),
    Mutation(
        "revise-smaller-hold",
        "an unresolved revise uses the old hold",
        [(OWNERSHIP + "leader_lease.cc",
          "  return std::min(term_.isolation_hold, "
          "pending_revision_->isolation_hold);",
          "  return term_.isolation_hold;")]),
    Mutation(
        "lease-from-after-read",
        "a lease is measured from the answer of a read, not from its start",
        [(OWNERSHIP + "lease_model_test.cc",
          "lease.OnLogRead(asked_at, true,",
          "lease.OnLogRead(Clock(reader), true,")]),
    Mutation(
        "lease-from-after-promise",
        "a lease is measured from the answer of a voter, not from the request",
        [(OWNERSHIP + "lease_model_instance_test.cc",
          "led->second.OnPromise(name, asked_at, granted);",
          "led->second.OnPromise(name, Clock(requester), granted);")]),
    Mutation(
        "cut-off-read",
        "a read that did not reach the end of the log proves the lease",
        [(OWNERSHIP + "lease_model_test.cc",
          "        if (end < size)\n          return;\n", "")]),
    Mutation(
        "handover-without-stopping",
        "a leader keeps its lease while its handover may take effect",
        [(OWNERSHIP + "leader_lease.cc",
          "if (ended_ || handing_over_)", "if (ended_)")]),
    Mutation(
        "abandoned-claim",
        "a claim takes effect after its abandon",
        [(OWNERSHIP + "lease_model_table_test.cc",
          "|| abandoned_.contains(record.id)", "")]),
    Mutation(
        "return-to-unheard-zone",
        "a term is returned to a zone that can't be reached",
        [(OWNERSHIP + "term_handover.cc",
          "cause == Cause::kReturn && !context_.HasRecentMessageFromZone(term->zone)",
          "false")],
        target="golden_test",
        case="scenario: zone partition longer than the isolation hold"),
    Mutation(
        "silent-memory",
        "a silent voter may be chosen again at once",
        [(OWNERSHIP + "lease_manager.cc",
          "excluded_until_[voter] = now + kUnresponsiveExclusion;",
          "excluded_until_[voter] = now + std::chrono::milliseconds(1);")],
        target="golden_test",
        case="scenario: zone partition longer than the isolation hold"),
    Mutation(
        "claim-wait-in-replay",
        "replay accepts a claim whose wait is too short",
        [(OWNERSHIP + "term_rules.cc",
          "  if (entry.wait < RequiredWait(", "  if (false && entry.wait < RequiredWait(")],
        target="ownership_test", case=""),
    Mutation(
        "claim-back-after-active",
        "a term is claimed back although its leader may serve",
        [(OWNERSHIP + "term_rules.cc",
          "return !current.active && current.replaced_leader == claimant &&",
          "return current.replaced_leader == claimant &&")],
        target="ownership_test",
        case="a disconnected zone reclaims a term that is not active yet"),
    Mutation(
        "move-precondition",
        "a move applies to a shard that was placed by another record",
        [(OWNERSHIP + "ownership_table.cc",
          "shard.upstream != body.upstream ||\n        "
          "shard.placed_offset != move.placed_offset",
          "shard.upstream != body.upstream")],
        target="ownership_test", case="shards are placed once and moved by their leader only"),
    Mutation(
        "request-epoch",
        "a leader sends a request that was routed by another epoch",
        [("packages/upstreams/upstream_leader.cc",
          "epoch == kNoOffset || epoch != request.epoch ||",
          "epoch == kNoOffset ||")],
        target="upstreams_test", case=""),
    Mutation(
        "request-id-epoch",
        "an id that another leader issued runs",
        [("packages/routing/request_records.cc",
          "id.epoch != epoch || IsExpired(id.issued_at)",
          "IsExpired(id.issued_at)")],
        target="routing_test", case=""),
    Mutation(
        "request-id-lifetime",
        "an id runs after its record was dropped",
        [("packages/routing/request_records.cc",
          "id.epoch != epoch || IsExpired(id.issued_at)",
          "id.epoch != epoch")],
        target="routing_test", case=""),
]
