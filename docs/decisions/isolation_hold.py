#!/usr/bin/env python3
"""Computes the table of docs/decisions/0002-isolation-hold.md.

For one event it gives the seconds for which the shards of one zone are not
served, the share of shards that move, and whether a frozen upstream of the cut
zone can run a request a second time (duplicates need an upstream that does not
check fences). The rules are those of docs/design.md, section 3, and the far
delay of ClaimTracker.
"""

PROMISE = 0.9
LOG_LEASE = 0.6
CLOCK = 1.01
APPEND_AND_GRANT = 0.1
CUT = 3600.0
# How long operators take to declare a zone lost.
DECLARE = 600.0
# Events a year: a zone fails a few times a year, regions occasionally lose
# contact for an hour. Zone cuts are taken to be as frequent as zone failures.
ZONE_LOSSES = 3
ZONE_CUTS = 3
REGION_CUTS = 2
HOLDS = (30, 120, 600, 1800, 3600, 5400)


def far_claim(hold):
    """Seconds after the loss at which a far voter claims."""
    return PROMISE * CLOCK + max(2.0, hold / 10)


def takeover(hold):
    """Seconds after the loss at which a far voter serves."""
    return far_claim(hold) + max(LOG_LEASE, hold) * CLOCK + APPEND_AND_GRANT


def zone_loss(hold):
    # A claim over the own waiting term is allowed once the replaced leader is
    # declared lost; its wait is that of a declared-lost claim.
    declared = DECLARE + max(LOG_LEASE, PROMISE) * CLOCK + APPEND_AND_GRANT
    return min(takeover(hold), declared)


def cut(hold, length):
    """Unserved seconds for callers of the cut zone, and for all others."""
    inside = max(0.0, length - hold)
    # Callers outside can't reach the zone while it is cut off.
    outside = min(length, takeover(hold))
    # The far voter's claim ends the lease when the zone is back; the replaced
    # leader claims the term back.
    after = 0.0
    if far_claim(hold) < length < takeover(hold):
        after = LOG_LEASE * CLOCK + APPEND_AND_GRANT
    return inside, outside, after


def main():
    print("| H (s) | zone lost | zone lost, declared after 600 s | "
          "cut of 1 h: inside | outside | after | moved | "
          "per year: callers inside | callers outside |")
    print("|---|---|---|---|---|---|---|---|---|")
    for hold in HOLDS:
        inside, outside, after = cut(hold, CUT)
        moved = "yes" if takeover(hold) < CUT else "no"
        losses = ZONE_LOSSES * zone_loss(hold)
        cuts = ZONE_CUTS + REGION_CUTS
        print(f"| {hold} | {takeover(hold):.0f} | {zone_loss(hold):.0f} | "
              f"{inside:.0f} | {outside:.0f} | {after:.0f} | {moved} | "
              f"{losses + cuts * (inside + after):.0f} | "
              f"{losses + cuts * (outside + after):.0f} |")


def messages():
    """Promise messages of one daemon at 770 daemons, for 0001."""
    voters, heartbeat = 5, 0.4
    requests = voters / heartbeat
    for terms in (1, 2, 4):
        # JSON-RPC envelope and one {"upstream", "term"} of about 40 bytes.
        size = (110 + 40 * terms) + (80 + 40 * terms)
        print(f"{terms} terms: {requests:.0f} requests/s sent, as many "
              f"received, {requests * size / 1000:.1f} KB/s sent and received "
              f"by the leader, the same as voter")


if __name__ == "__main__":
    main()
    messages()
