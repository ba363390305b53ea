package dev.foxtailshed.kernel.direct.workspace;

import dev.foxtailshed.kernel.manifest.Digests;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A key by which a caller shows its workspace. Immutable.
 *
 * <p>The key is a secret: its text form shows only a part of its digest, which tells keys apart in
 * logs.
 */
public final class ApiKey {

    /** Longest key that is compared; longer ones cost memory and match no configured key. */
    private static final int MAXIMUM_LENGTH = 256;

    private static final int DIGEST_CHARACTERS = 12;

    private final String value;

    private ApiKey(String value) {
        this.value = value;
    }

    /**
     * Parses a key.
     *
     * @param text the key
     * @return the key, empty if the text is empty, too long, or has characters other than visible
     *     ASCII
     */
    public static Optional<ApiKey> parse(String text) {
        boolean valid =
                !text.isEmpty()
                        && text.length() <= MAXIMUM_LENGTH
                        && text.chars().allMatch(c -> c > ' ' && c <= '~');
        return valid ? Optional.of(new ApiKey(text)) : Optional.empty();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey key && key.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    /** Returns the start of the key's digest, never the key. */
    @Override
    public String toString() {
        String digest = Digests.sha256(value.getBytes(StandardCharsets.US_ASCII));
        return "sha256:" + digest.substring(0, DIGEST_CHARACTERS);
    }
}
