package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.routing.PrefixHints;
import dev.foxtailshed.wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Estimates how much of one prompt each server has in its prefix cache. Immutable. */
final class PromptPrefix {

    private final PrefixHints hints;
    private final List<Long> blocks;
    private final long promptTokens;
    private final long sizeBytes;

    PromptPrefix(PrefixHints hints, ResolvedModelRequest request) {
        String prompt = request.completion().prompt();
        this.hints = hints;
        this.blocks = PrefixHints.blocks(request.deployment().model(), prompt);
        this.promptTokens = request.promptTokens();
        this.sizeBytes = Math.max(1, prompt.getBytes(StandardCharsets.UTF_8).length);
    }

    Map<String, Long> cachedTokensByServer() {
        Map<String, Long> tokens = new HashMap<>();
        hints.cachedBytes(blocks)
                .forEach((server, bytes) -> tokens.put(server, bytes * promptTokens / sizeBytes));
        return tokens;
    }

    /** Updates the hints after a prefill. */
    void recordPrefill(String server, Message.Prefilled prefilled) {
        long countedTokens = Math.max(1, prefilled.promptTokens());
        hints.recordPrefill(server, blocks, prefilled.cachedTokens() * sizeBytes / countedTokens);
    }
}
