package dev.foxtailshed.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A least recently used cache of prompt prefixes whose KV cache is available.
 *
 * <p>Not thread-safe; guarded by the lock of the engine.
 */
final class PrefixCache {

    private static final int HASH_BYTES = 8;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacityPieces;
    private final int tokensPerPiece;
    private final CacheEvents events;
    private final LinkedHashMap<String, Integer> tokensByHash =
            new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int capacityPieces, int tokensPerPiece, CacheEvents events) {
        this.capacityPieces = capacityPieces;
        this.tokensPerPiece = tokensPerPiece;
        this.events = events;
    }

    /** Returns the hashes of the prefixes that end at a piece boundary, shortest first. */
    List<String> prefixHashes(String model, String[] words) {
        List<String> hashes = new ArrayList<>();
        MessageDigest digest = CompletionText.sha256();
        digest.update((model + "\n").getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < words.length; i++) {
            String word = i == 0 ? words[i] : " " + words[i];
            digest.update(word.getBytes(StandardCharsets.UTF_8));
            if ((i + 1) % tokensPerPiece == 0) {
                hashes.add(hashSoFar(digest));
            }
        }
        return hashes;
    }

    /** Returns the number of cached tokens of a prompt and marks them as recently used. */
    int lookUp(List<String> hashes) {
        int pieces = 0;
        while (pieces < hashes.size() && tokensByHash.get(hashes.get(pieces)) != null) {
            pieces++;
        }
        return pieces * tokensPerPiece;
    }

    void store(List<String> hashes) {
        int storedPieces = Math.min(hashes.size(), capacityPieces);
        for (int i = 0; i < storedPieces; i++) {
            int tokens = (i + 1) * tokensPerPiece;
            if (tokensByHash.put(hashes.get(i), tokens) == null) {
                events.add(CacheEvents.STORED, hashes.get(i), tokens);
            }
        }
        Iterator<Map.Entry<String, Integer>> oldest = tokensByHash.entrySet().iterator();
        while (tokensByHash.size() > capacityPieces) {
            Map.Entry<String, Integer> evicted = oldest.next();
            events.add(CacheEvents.EVICTED, evicted.getKey(), evicted.getValue());
            oldest.remove();
        }
    }

    private static String hashSoFar(MessageDigest digest) {
        try {
            byte[] hash = ((MessageDigest) digest.clone()).digest();
            return HexFormat.of().formatHex(hash, 0, HASH_BYTES);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
