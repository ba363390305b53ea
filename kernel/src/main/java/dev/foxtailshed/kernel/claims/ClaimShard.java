package dev.foxtailshed.kernel.claims;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import java.util.Comparator;
import java.util.Optional;

/**
 * The claims of one shard and their transitions.
 *
 * <p>Example: <code>ClaimResult result = shard.claim(request, nowEpochMillis);</code> then store
 * <code>result.shard()</code> with a conditional update and act on the decision only if the update
 * took effect. Transitions are idempotent: an update whose response was lost is resolved by
 * applying the transition again to the shard that is read back.
 *
 * <p>Immutable. To make room, expired claims are removed first, then the content of recorded
 * answers, oldest expiry first. A claim that has not expired is never removed; a new claim that
 * would still exceed the size limit is refused.
 */
public final class ClaimShard {

    /** The maximum size of a shard in bytes: half of the maximum value size of the object API. */
    public static final int MAXIMUM_BYTES = 512 * 1024;

    /** A shard without claims. */
    public static final ClaimShard EMPTY = new ClaimShard(TreeMap.empty(), 0);

    private final Map<String, Claim> claims;
    private final long sizeBytes;

    private ClaimShard(Map<String, Claim> claims, long sizeBytes) {
        this.claims = claims;
        this.sizeBytes = sizeBytes;
    }

    static ClaimShard of(Map<String, Claim> claims) {
        return new ClaimShard(claims, claims.values().map(Claim::sizeBytes).sum().longValue());
    }

    /**
     * Returns the claims by key.
     *
     * @return an immutable map
     */
    public Map<String, Claim> claims() {
        return claims;
    }

    /**
     * Returns the approximate size of the shard.
     *
     * @return the size in bytes
     */
    public long sizeBytes() {
        return sizeBytes;
    }

    /**
     * Claims a key for a request.
     *
     * @param request the request
     * @param nowEpochMillis the current time
     * @return the shard to store and the decision
     */
    public ClaimResult claim(ClaimRequest request, long nowEpochMillis) {
        Optional<Claim> held = find(request.key(), nowEpochMillis);
        if (held.isPresent()) {
            return new ClaimResult(this, decide(held.get(), request));
        }
        Claim claim =
                new Claim(
                        request.claimId(),
                        request.contentDigest(),
                        request.expiresAtEpochMillis(),
                        Optional.empty());
        ClaimShard withRoom = without(request.key()).makeRoom(claim.sizeBytes(), nowEpochMillis);
        if (withRoom.sizeBytes + claim.sizeBytes() > MAXIMUM_BYTES) {
            return new ClaimResult(this, new ClaimDecision.Full());
        }
        return new ClaimResult(withRoom.with(request.key(), claim), new ClaimDecision.Claimed());
    }

    /**
     * Records the answer of the run under a claim.
     *
     * @param request the request that holds the claim
     * @param answer the answer; its content is dropped if the shard has no room for it
     * @return the shard to store, or this one if the request holds no claim without an answer
     */
    public ClaimShard complete(ClaimRequest request, RecordedAnswer answer) {
        Optional<Claim> held = heldBy(request).filter(claim -> claim.answer().isEmpty());
        if (held.isEmpty()) {
            return this;
        }
        boolean room = sizeBytes + answer.sizeBytes() <= MAXIMUM_BYTES;
        RecordedAnswer kept = room ? answer : answer.withoutContent();
        return without(request.key()).with(request.key(), held.get().withAnswer(kept));
    }

    /**
     * Removes a claim whose request was proved not to have run.
     *
     * @param request the request that holds the claim
     * @return the shard to store, or this one if the request holds no claim without an answer
     */
    public ClaimShard release(ClaimRequest request) {
        return heldBy(request).filter(claim -> claim.answer().isEmpty()).isPresent()
                ? without(request.key())
                : this;
    }

    /**
     * Removes the expired claims.
     *
     * @param nowEpochMillis the current time
     * @return the shard to store, or this one if no claim has expired
     */
    public ClaimShard compact(long nowEpochMillis) {
        Map<String, Claim> live =
                claims.filterValues(claim -> claim.expiresAtEpochMillis() > nowEpochMillis);
        return live.size() == claims.size() ? this : of(live);
    }

    private static ClaimDecision decide(Claim held, ClaimRequest request) {
        if (held.claimId().equals(request.claimId())) {
            return new ClaimDecision.Claimed();
        }
        if (!held.contentDigest().equals(request.contentDigest())) {
            return new ClaimDecision.Reused();
        }
        return held.answer()
                .<ClaimDecision>map(ClaimDecision.Answered::new)
                .orElseGet(ClaimDecision.InUse::new);
    }

    private Optional<Claim> find(String key, long nowEpochMillis) {
        return claims.get(key)
                .filter(claim -> claim.expiresAtEpochMillis() > nowEpochMillis)
                .toJavaOptional();
    }

    private Optional<Claim> heldBy(ClaimRequest request) {
        return claims.get(request.key())
                .filter(claim -> claim.claimId().equals(request.claimId()))
                .toJavaOptional();
    }

    private ClaimShard makeRoom(int neededBytes, long nowEpochMillis) {
        if (sizeBytes + neededBytes <= MAXIMUM_BYTES) {
            return this;
        }
        ClaimShard compacted = compact(nowEpochMillis);
        if (compacted.sizeBytes + neededBytes <= MAXIMUM_BYTES) {
            return compacted;
        }
        return compacted.withoutOldContent(neededBytes);
    }

    private ClaimShard withoutOldContent(int neededBytes) {
        ClaimShard next = this;
        var byExpiry =
                claims.filterValues(ClaimShard::hasContent)
                        .toList()
                        .sorted(Comparator.comparingLong(e -> e._2.expiresAtEpochMillis()));
        for (var entry : byExpiry) {
            if (next.sizeBytes + neededBytes <= MAXIMUM_BYTES) {
                break;
            }
            RecordedAnswer withoutContent = entry._2.answer().orElseThrow().withoutContent();
            next = next.without(entry._1).with(entry._1, entry._2.withAnswer(withoutContent));
        }
        return next;
    }

    private static boolean hasContent(Claim claim) {
        return claim.answer().flatMap(RecordedAnswer::content).isPresent();
    }

    private ClaimShard with(String key, Claim claim) {
        return new ClaimShard(claims.put(key, claim), sizeBytes + claim.sizeBytes());
    }

    private ClaimShard without(String key) {
        return claims.get(key)
                .map(old -> new ClaimShard(claims.remove(key), sizeBytes - old.sizeBytes()))
                .getOrElse(this);
    }
}
