package dev.foxtailshed.daemon.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Turns the texts of settings into values; each throws IllegalArgumentException with the cause. */
public final class SettingParsers {

    private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,63}");
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");
    private static final int MAXIMUM_PORT = 65_535;

    private SettingParsers() {}

    /**
     * Parses a name of an instance, a server or a zone.
     *
     * @param text the text
     * @return the name
     */
    public static String name(String text) {
        if (!NAME.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "expected 1 to 63 of a-z, 0-9 and hyphen, found \"" + text + "\"");
        }
        return text;
    }

    /**
     * Parses an address of an IP number and a port.
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
     * Parses a list of addresses, parted by commas.
     *
     * @param text the text; an empty text is an empty list
     * @return the addresses
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
     * Parses the base URL of an HTTP service.
     *
     * @param text the text, such as http://127.0.0.1:9000
     * @return the URL without a slash at its end
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
     * Gives a parser of whole numbers within bounds.
     *
     * @param minimum the least value
     * @param maximum the greatest value
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
     * Gives a parser of one word out of several.
     *
     * @param words the words
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
     * Writes an address as {@link #address} reads it.
     *
     * @param address the address
     * @return IP:PORT
     */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String urlExpected(String text) {
        return "expected a URL such as http://127.0.0.1:9000, found \"" + text + "\"";
    }
}
