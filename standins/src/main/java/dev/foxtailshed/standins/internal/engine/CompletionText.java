package dev.foxtailshed.standins.internal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The completion of a prompt, determined by the model and the prompt only.
 *
 * <p>A test can therefore predict the exact text, also of a request that was resumed on another
 * engine. The word {@code stop-after=N} in a prompt ends its completion after N tokens. Immutable.
 */
final class CompletionText {

    private static final Pattern STOP_AFTER =
            Pattern.compile("(?<!\\S)stop-after=(\\d{1,9})(?!\\S)");
    private static final int SUFFIX_BYTES = 4;

    private final String suffix;
    private final int stopAfterTokens;

    CompletionText(String model, String prompt) {
        byte[] text = (model + "\n" + prompt).getBytes(StandardCharsets.UTF_8);
        suffix = "-" + HexFormat.of().formatHex(sha256().digest(text), 0, SUFFIX_BYTES);
        Matcher stop = STOP_AFTER.matcher(prompt);
        stopAfterTokens = stop.find() ? Integer.parseInt(stop.group(1)) : Integer.MAX_VALUE;
    }

    /** Returns the token at an index, which starts at 0. */
    String token(int index) {
        return " w" + index + suffix;
    }

    /** Returns the number of tokens of the complete text. */
    int tokenCount(int maximumTokens) {
        return Math.min(maximumTokens, stopAfterTokens);
    }

    String finishReason(int maximumTokens) {
        return stopAfterTokens <= maximumTokens ? "stop" : "length";
    }

    static String[] splitWords(String text) {
        String trimmed = text == null ? "" : text.strip();
        return trimmed.isEmpty() ? new String[0] : trimmed.split("\\s+");
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
