package dev.foxtailshed.standins;

import java.util.Locale;
import java.util.Set;

/**
 * The settings of one {@link EngineStandIn}.
 *
 * <pre>{@code
 * EngineSettings settings = EngineSettings.builder().role("prefill").requestSlots(4).build();
 * }</pre>
 *
 * <p>Immutable. Sizes and times below their minimum are refused.
 */
public final class EngineSettings {

    private static final Set<String> ROLES = Set.of("prefill", "decode");

    /** The name of the engine. */
    public final String name;

    /** The initial role, prefill or decode. */
    public final String role;

    /** The maximum number of concurrent requests. */
    public final int requestSlots;

    /** The size of the KV cache memory, in pieces. */
    public final int kvPieces;

    /** The number of tokens per piece of KV cache. */
    public final int tokensPerPiece;

    /** The size of the KV cache per token, in bytes. */
    public final long kvBytesPerToken;

    /** The prefill rate, in prompt tokens per second. */
    public final long prefillTokensPerSecond;

    /** The maximum number of prompts that are prefilled concurrently. */
    public final int prefillBatch;

    /** The duration of a step, which generates one token for each decoding request. */
    public final long tokenMillis;

    /** The rate of KV cache imports, in bytes per second. */
    public final long linkBytesPerSecond;

    /** The time after which an export that was not taken is evicted. */
    public final long exportTtlMillis;

    /** The capacity of the prefix cache, in pieces. */
    public final int prefixCachePieces;

    /** The age of the reported load. */
    public final long loadLagMillis;

    /** The delay after which a cache event is published. */
    public final long cacheEventLagMillis;

    /** The percentage of cache events that are never published. */
    public final double cacheEventLossPercent;

    /** Whether commands with an outdated fencing number are refused. */
    public final boolean checksFencing;

    /** The seed of the random number generator that selects lost cache events. */
    public final long seed;

    private EngineSettings(Builder builder) {
        name = builder.name;
        role = builder.role;
        requestSlots = builder.requestSlots;
        kvPieces = builder.kvPieces;
        tokensPerPiece = builder.tokensPerPiece;
        kvBytesPerToken = builder.kvBytesPerToken;
        prefillTokensPerSecond = builder.prefillTokensPerSecond;
        prefillBatch = builder.prefillBatch;
        tokenMillis = builder.tokenMillis;
        linkBytesPerSecond = builder.linkBytesPerSecond;
        exportTtlMillis = builder.exportTtlMillis;
        prefixCachePieces = builder.prefixCachePieces;
        loadLagMillis = builder.loadLagMillis;
        cacheEventLagMillis = builder.cacheEventLagMillis;
        cacheEventLossPercent = builder.cacheEventLossPercent;
        checksFencing = builder.checksFencing;
        seed = builder.seed;
    }

    /** Returns a builder with the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link EngineSettings}; for use by one thread. */
    public static final class Builder {

        private String name = "engine";
        private String role = "decode";
        private int requestSlots = 20;
        private int kvPieces = 2000;
        private int tokensPerPiece = 16;
        private long kvBytesPerToken = 1000;
        private long prefillTokensPerSecond = 8000;
        private int prefillBatch = 4;
        private long tokenMillis = 10;
        private long linkBytesPerSecond = 100_000_000;
        private long exportTtlMillis = 900;
        private int prefixCachePieces = 500;
        private long loadLagMillis = 0;
        private long cacheEventLagMillis = 0;
        private double cacheEventLossPercent = 0;
        private boolean checksFencing = true;
        private long seed = 1;

        private Builder() {}

        /**
         * Sets the name of the engine.
         *
         * @param value the name, not blank
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets the initial role, prefill or decode.
         *
         * @param value {@code prefill} or {@code decode}
         * @return this builder
         */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /**
         * Sets the maximum number of concurrent requests.
         *
         * @param value the number of request slots, at least 1
         * @return this builder
         */
        public Builder requestSlots(int value) {
            requestSlots = value;
            return this;
        }

        /**
         * Sets the size of the KV cache memory, in pieces.
         *
         * @param value the number of pieces, at least 1
         * @return this builder
         */
        public Builder kvPieces(int value) {
            kvPieces = value;
            return this;
        }

        /**
         * Sets the number of tokens per piece of KV cache.
         *
         * @param value the number of tokens, at least 1
         * @return this builder
         */
        public Builder tokensPerPiece(int value) {
            tokensPerPiece = value;
            return this;
        }

        /**
         * Sets the size of the KV cache per token, in bytes.
         *
         * @param value the size in bytes, at least 1
         * @return this builder
         */
        public Builder kvBytesPerToken(long value) {
            kvBytesPerToken = value;
            return this;
        }

        /**
         * Sets the prefill rate, in prompt tokens per second.
         *
         * @param value the rate in tokens per second, at least 1
         * @return this builder
         */
        public Builder prefillTokensPerSecond(long value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /**
         * Sets the maximum number of prompts that are prefilled concurrently.
         *
         * @param value the number of prompts, at least 1
         * @return this builder
         */
        public Builder prefillBatch(int value) {
            prefillBatch = value;
            return this;
        }

        /**
         * Sets the duration of a step, which generates one token for each decoding request.
         *
         * @param value the duration in milliseconds, at least 1
         * @return this builder
         */
        public Builder tokenMillis(long value) {
            tokenMillis = value;
            return this;
        }

        /**
         * Sets the rate of KV cache imports, in bytes per second.
         *
         * @param value the rate in bytes per second, at least 1
         * @return this builder
         */
        public Builder linkBytesPerSecond(long value) {
            linkBytesPerSecond = value;
            return this;
        }

        /**
         * Sets the time after which an export that was not taken is evicted.
         *
         * @param value the time in milliseconds, at least 1
         * @return this builder
         */
        public Builder exportTtlMillis(long value) {
            exportTtlMillis = value;
            return this;
        }

        /**
         * Sets the capacity of the prefix cache, in pieces; 0 disables it.
         *
         * @param value the number of pieces, at least 0
         * @return this builder
         */
        public Builder prefixCachePieces(int value) {
            prefixCachePieces = value;
            return this;
        }

        /**
         * Sets the age of the reported load.
         *
         * @param value the age in milliseconds, at least 0
         * @return this builder
         */
        public Builder loadLagMillis(long value) {
            loadLagMillis = value;
            return this;
        }

        /**
         * Sets the delay after which a cache event is published.
         *
         * @param value the delay in milliseconds, at least 0
         * @return this builder
         */
        public Builder cacheEventLagMillis(long value) {
            cacheEventLagMillis = value;
            return this;
        }

        /**
         * Sets the percentage of cache events that are never published.
         *
         * @param value the percentage, from 0 to 100
         * @return this builder
         */
        public Builder cacheEventLossPercent(double value) {
            cacheEventLossPercent = value;
            return this;
        }

        /**
         * Sets whether commands with an outdated fencing number are refused.
         *
         * @param value whether to refuse outdated fencing numbers
         * @return this builder
         */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        /**
         * Sets the seed of the random number generator that selects lost cache events.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if a value is out of range; the message names the field
         */
        public EngineSettings build() {
            requireAtLeast("requestSlots", requestSlots, 1);
            requireAtLeast("kvPieces", kvPieces, 1);
            requireAtLeast("tokensPerPiece", tokensPerPiece, 1);
            requireAtLeast("kvBytesPerToken", kvBytesPerToken, 1);
            requireAtLeast("prefillTokensPerSecond", prefillTokensPerSecond, 1);
            requireAtLeast("prefillBatch", prefillBatch, 1);
            requireAtLeast("tokenMillis", tokenMillis, 1);
            requireAtLeast("linkBytesPerSecond", linkBytesPerSecond, 1);
            requireAtLeast("exportTtlMillis", exportTtlMillis, 1);
            requireAtLeast("prefixCachePieces", prefixCachePieces, 0);
            requireAtLeast("loadLagMillis", loadLagMillis, 0);
            requireAtLeast("cacheEventLagMillis", cacheEventLagMillis, 0);
            if (!(cacheEventLossPercent >= 0 && cacheEventLossPercent <= 100)) {
                throw new IllegalArgumentException("cacheEventLossPercent: must be from 0 to 100");
            }
            if (role == null || !ROLES.contains(role)) {
                throw new IllegalArgumentException("role: must be prefill or decode");
            }
            if (name == null || name.isBlank()) {
                throw new IllegalArgumentException("name: must not be empty");
            }
            return new EngineSettings(this);
        }

        private static void requireAtLeast(String field, long value, long minimum) {
            if (value < minimum) {
                throw new IllegalArgumentException(
                        String.format(Locale.ROOT, "%s: must be at least %d", field, minimum));
            }
        }
    }
}
