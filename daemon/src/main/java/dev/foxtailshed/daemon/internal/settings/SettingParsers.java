package dev.foxtailshed.daemon.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Parsers of setting values.
 *
 * <p>Each throws IllegalArgumentException with a message that says what was expected and found.
 */
public final class SettingParsers {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,63}");
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");
    private static final int MAXIMUM_PORT = 65_535;

    private SettingParsers() {}

    /**
     * Validates the name of an instance, a server or a zone.
     *
     * @param text 1 to 63 lower-case letters, digits and hyphens
     * @return the same text
     */
    public static String name(String text) {
        if (!NAME.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "expected 1 to 63 characters from a-z, 0-9 and hyphen, found \"" + text + "\"");
        }
        return text;
    }

    /**
     * Parses an IP address with a port; host names are not resolved.
     *
     * @param text the text, such as 127.0.0.1:8080
     * @return the address
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String expected = "expected IP:PORT such as 127.0.0.1:8080, found \"" + text + "\"";
        if (colon < 1 || !IP_ADDRESS.matcher(text.substring(0, colon)).matches()) {
            throw new IllegalArgumentException(expected);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAXIMUM_PORT) {
                throw new IllegalArgumentException(expected);
            }
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(expected, e);
        }
    }

    /**
     * Parses a comma-separated list of IP addresses with ports.
     *
     * @param text the list; blank items are ignored
     * @return the addresses in order, empty if the text is blank
     */
    public static List<InetSocketAddress> addresses(String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                addresses.add(address(part.trim()));
            }
        }
        return List.copyOf(addresses);
    }

    /**
     * Parses the base URL of an HTTP or HTTPS service.
     *
     * @param text the text, such as http://127.0.0.1:9000
     * @return the URL without a trailing slash
     */
    public static URI httpUrl(String text) {
        try {
            URI url = URI.create(text.endsWith("/") ? text.substring(0, text.length() - 1) : text);
            boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            if (http && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(urlExpected(text), e);
        }
        throw new IllegalArgumentException(urlExpected(text));
    }

    /**
     * Returns a parser of integers in a range.
     *
     * @param minimum the smallest valid value
     * @param maximum the largest valid value
     * @return the parser
     */
    public static Function<String, Long> wholeNumber(long minimum, long maximum) {
        return text -> {
            String expected =
                    "expected an integer from " + minimum + " to " + maximum + ", found \"" + text;
            try {
                long value = Long.parseLong(text);
                if (value >= minimum && value <= maximum) {
                    return value;
                }
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(expected + "\"", e);
            }
            throw new IllegalArgumentException(expected + "\"");
        };
    }

    /**
     * Returns a parser that accepts only the given words.
     *
     * @param words the valid values
     * @return the parser
     */
    public static Function<String, String> oneOf(String... words) {
        return text -> {
            if (!List.of(words).contains(text)) {
                throw new IllegalArgumentException(
                        "expected one of " + String.join(", ", words) + ", found \"" + text + "\"");
            }
            return text;
        };
    }

    /**
     * Formats an address so that {@link #address} can parse it.
     *
     * @param address a resolved address
     * @return the text IP:PORT
     */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String urlExpected(String text) {
        return "expected a URL such as http://127.0.0.1:9000, found \"" + text + "\"";
    }
}
