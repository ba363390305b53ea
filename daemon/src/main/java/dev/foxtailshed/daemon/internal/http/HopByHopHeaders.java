package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.wire.Message.Header;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Removes the headers that concern one connection only. */
public final class HopByHopHeaders {

    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");
    private static final Set<String> OF_REQUESTS = Set.of("host", "content-length", "expect");
    private static final Set<String> OF_REQUESTS_FOR_HOST = Set.of("content-length", "expect");
    private static final Set<String> OF_BUFFERED_ANSWERS = Set.of("content-length");

    private HopByHopHeaders() {}

    /**
     * Returns the headers of an answer that go on to the caller.
     *
     * @param headers all headers
     * @return those that do not concern the connection
     */
    public static List<Header> ofAnswer(List<Header> headers) {
        return without(headers, Set.of());
    }

    /**
     * Returns the headers of a request that go on to the backend server.
     *
     * @param headers all headers
     * @return those that do not concern the connection or the framing
     */
    public static List<Header> ofRequest(List<Header> headers) {
        return without(headers, OF_REQUESTS);
    }

    /**
     * Returns the headers of an answer whose body is framed anew.
     *
     * @param headers all headers
     * @return those that concern neither the connection nor the framing
     */
    public static HttpFields ofReframedAnswer(HttpFields headers) {
        return without(headers, OF_BUFFERED_ANSWERS);
    }

    /**
     * Returns the headers of a request that goes on under the caller's host.
     *
     * @param headers all headers
     * @return those that concern neither the connection nor the framing
     */
    public static HttpFields ofRequestForHost(HttpFields headers) {
        return without(headers, OF_REQUESTS_FOR_HOST);
    }

    private static List<Header> without(List<Header> headers, Set<String> others) {
        Set<String> removed = new HashSet<>(others);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .forEach(header -> addNamed(header.value(), removed));
        return headers.stream().filter(header -> stays(header.name(), removed)).toList();
    }

    private static HttpFields without(HttpFields headers, Set<String> others) {
        Set<String> removed = new HashSet<>(others);
        headers.getValuesList(HttpHeader.CONNECTION).forEach(value -> addNamed(value, removed));
        HttpFields.Mutable kept = HttpFields.build();
        for (HttpField field : headers) {
            if (stays(field.getName(), removed)) {
                kept.add(field);
            }
        }
        return kept;
    }

    private static void addNamed(String connection, Set<String> removed) {
        for (String named : connection.split(",")) {
            removed.add(lower(named.trim()));
        }
    }

    private static boolean stays(String name, Set<String> removed) {
        String lower = lower(name);
        return !NAMES.contains(lower) && !removed.contains(lower);
    }

    private static String lower(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
