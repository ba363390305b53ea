package dev.foxtailshed.kernel.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Remembers which server reads prompts that begin alike.
 *
 * <p>A prompt is known by the digests of its first blocks of bytes. Each block has one owner, the
 * server that read it first; a reading elsewhere, for want of room, does not change that until it
 * has happened often or the servers' counts of cached tokens speak for the other. One owner keeps
 * the small caches of the others free. What is remembered is a hint, since servers evict without
 * telling. Bounded: the blocks used longest ago are forgotten first.
 *
 * <pre>{@code
 * List<Long> blocks = PrefixHints.blocks(model, prompt);
 * Map<String, Integer> cached = hints.cachedBytes(blocks);
 * hints.learn(server, blocks, countedCachedBytes);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PrefixHints {

    /** The bytes of a prompt that one block covers. */
    public static final int BLOCK_BYTES = 256;

    private static final int MAXIMUM_BLOCKS_OF_PROMPT = 64;
    private static final int MOST_READINGS_ELSEWHERE = 8;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maximumBlocks;
    private final LinkedHashMap<Long, Owner> ownersByBlock =
            new LinkedHashMap<>(16, LOAD_FACTOR, true);

    /**
     * Creates an empty memory.
     *
     * @param maximumBlocks how many blocks are remembered
     */
    public PrefixHints(int maximumBlocks) {
        this.maximumBlocks = maximumBlocks;
    }

    /**
     * Digests the beginning of a prompt.
     *
     * @param model the model, whose cache is its own
     * @param prompt the prompt
     * @return a digest for each prefix that fills whole blocks, shortest first
     */
    public static List<Long> blocks(String model, String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int count = Math.min(MAXIMUM_BLOCKS_OF_PROMPT, bytes.length / BLOCK_BYTES);
        CRC32C low = new CRC32C();
        low.update(model.getBytes(StandardCharsets.UTF_8));
        long high = model.hashCode();
        List<Long> blocks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            ByteBuffer block = ByteBuffer.wrap(bytes, i * BLOCK_BYTES, BLOCK_BYTES);
            high = 31 * high + block.hashCode();
            low.update(block);
            blocks.add(high << Integer.SIZE | low.getValue());
        }
        return blocks;
    }

    /**
     * Returns what servers are believed to have cached of a prompt.
     *
     * @param blocks the blocks of the prompt
     * @return bytes of the prompt by the names of servers
     */
    public synchronized Map<String, Integer> cachedBytes(List<Long> blocks) {
        Map<String, Integer> bytesByServer = new HashMap<>();
        for (int i = 0; i < blocks.size(); i++) {
            Owner owner = ownersByBlock.get(blocks.get(i));
            if (owner == null) {
                break;
            }
            bytesByServer.put(owner.server, (i + 1) * BLOCK_BYTES);
        }
        return bytesByServer;
    }

    /**
     * Learns from a reading.
     *
     * @param server where the prompt was read
     * @param blocks the blocks of the prompt, all of which the server holds now
     * @param cachedBytes bytes of the prompt that it had cached before, by its own count
     */
    public synchronized void recordPrefill(String server, List<Long> blocks, long cachedBytes) {
        for (int i = 0; i < blocks.size(); i++) {
            boolean wasCached = (i + 1L) * BLOCK_BYTES <= cachedBytes;
            Owner owner = ownersByBlock.get(blocks.get(i));
            if (owner == null) {
                ownersByBlock.put(blocks.get(i), new Owner(server));
            } else {
                owner.recordPrefill(server, wasCached);
            }
        }
        while (ownersByBlock.size() > maximumBlocks) {
            ownersByBlock.remove(ownersByBlock.keySet().iterator().next());
        }
    }

    /** The server that reads a block by habit. */
    private static final class Owner {

        private String server;
        private boolean confirmed;
        private int readingsElsewhere;

        Owner(String server) {
            this.server = server;
        }

        void recordPrefill(String reader, boolean wasCached) {
            if (reader.equals(server)) {
                confirmed = wasCached;
                readingsElsewhere = 0;
                return;
            }
            readingsElsewhere++;
            boolean otherIsBetter = wasCached && !confirmed;
            if (otherIsBetter || readingsElsewhere > MOST_READINGS_ELSEWHERE) {
                server = reader;
                confirmed = wasCached;
                readingsElsewhere = 0;
            }
        }
    }
}
