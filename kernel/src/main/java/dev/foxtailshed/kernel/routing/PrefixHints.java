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
 * Maps the prefixes of prompts to the servers that probably have them cached.
 *
 * <p>A prompt is identified by the digests of its first blocks of bytes. Each block has one owner,
 * the server that processed it first. A prefill on another server, for lack of capacity, changes
 * the owner only after it has happened often or if the reported counts of cached tokens show that
 * the other server has the block cached and the owner does not. A single owner keeps the block out
 * of the small caches of the other servers. The mapping is a hint, because servers evict blocks
 * without notice. Bounded: the least recently used blocks are removed first.
 *
 * <pre>{@code
 * List<Long> blocks = PrefixHints.blocks(model, prompt);
 * Map<String, Integer> cached = hints.cachedBytes(blocks);
 * hints.recordPrefill(server, blocks, reportedCachedBytes);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PrefixHints {

    /** The size of a block in bytes of the prompt. */
    public static final int BLOCK_BYTES = 256;

    private static final int MAXIMUM_BLOCKS_PER_PROMPT = 64;
    private static final int MAXIMUM_OTHER_PREFILLS = 8;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maximumBlocks;
    private final LinkedHashMap<Long, Owner> ownersByBlock =
            new LinkedHashMap<>(16, LOAD_FACTOR, true);

    /**
     * Creates an empty map.
     *
     * @param maximumBlocks the maximum number of blocks kept
     */
    public PrefixHints(int maximumBlocks) {
        this.maximumBlocks = maximumBlocks;
    }

    /**
     * Computes the digests of a prompt's prefixes.
     *
     * @param model the name of the model; models share no cached blocks
     * @param prompt the prompt
     * @return a digest for each prefix of whole blocks, shortest first
     */
    public static List<Long> blocks(String model, String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int count = Math.min(MAXIMUM_BLOCKS_PER_PROMPT, bytes.length / BLOCK_BYTES);
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
     * Returns how much of a prompt the servers probably have cached.
     *
     * @param blocks the block digests of the prompt
     * @return the sizes of the cached prefixes in bytes, by server name
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
     * Records a finished prefill.
     *
     * @param server the server that ran the prefill
     * @param blocks the block digests of the prompt, all of which the server has cached now
     * @param cachedBytes the bytes of the prompt that the server reported as cached before
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

    /** The server to which the prompts with a block are preferably sent. */
    private static final class Owner {

        private String server;
        private boolean confirmed;
        private int otherPrefills;

        Owner(String server) {
            this.server = server;
        }

        void recordPrefill(String prefillServer, boolean wasCached) {
            if (prefillServer.equals(server)) {
                confirmed = wasCached;
                otherPrefills = 0;
                return;
            }
            otherPrefills++;
            boolean onlyOtherHasCached = wasCached && !confirmed;
            if (onlyOtherHasCached || otherPrefills > MAXIMUM_OTHER_PREFILLS) {
                server = prefillServer;
                confirmed = wasCached;
                otherPrefills = 0;
            }
        }
    }
}
