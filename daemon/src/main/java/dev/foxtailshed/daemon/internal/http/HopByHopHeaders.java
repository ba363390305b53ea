package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.wire.Message.Header;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Removes the headers that apply to a single connection and must not be forwarded.
 *
 * <p>These are the hop-by-hop headers of HTTP/1.1 and those named in the Connection header.
 */
public final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP =
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
    private static final Set<String> REMOVED_FROM_REQUESTS =
            Set.of("host", "content-length", "expect");
    private static final Set<String> REMOVED_FROM_REQUESTS_KEEPING_HOST =
            Set.of("content-length", "expect");
    private static final Set<String> REMOVED_FROM_REFRAMED_RESPONSES = Set.of("content-length");

    private HopByHopHeaders() {}

    /**
     * Returns the headers of a response to forward to the caller.
     *
     * @param headers all headers
     * @return the headers without hop-by-hop headers
     */
    public static List<Header> removeFromResponse(List<Header> headers) {
        return removeFrom(headers, Set.of());
    }

    /**
     * Returns the headers of a request to forward to the backend server.
     *
     * @param headers all headers
     * @return the headers without hop-by-hop headers, Host, Content-Length and Expect
     */
    public static List<Header> removeFromRequest(List<Header> headers) {
        return removeFrom(headers, REMOVED_FROM_REQUESTS);
    }

    /**
     * Returns the headers of a response whose body is forwarded with other framing.
     *
     * @param headers all headers
     * @return the headers without hop-by-hop headers and Content-Length
     */
    public static HttpFields removeFromReframedResponse(HttpFields headers) {
        return removeFrom(headers, REMOVED_FROM_REFRAMED_RESPONSES);
    }

    /**
     * Returns the headers of a request to forward with the caller's Host header.
     *
     * @param headers all headers
     * @return the headers without hop-by-hop headers, Content-Length and Expect
     */
    public static HttpFields removeFromRequestKeepingHost(HttpFields headers) {
        return removeFrom(headers, REMOVED_FROM_REQUESTS_KEEPING_HOST);
    }

    private static List<Header> removeFrom(List<Header> headers, Set<String> additionalNames) {
        Set<String> removedNames = new HashSet<>(additionalNames);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .forEach(header -> addConnectionHeaders(header.value(), removedNames));
        return headers.stream().filter(header -> isKept(header.name(), removedNames)).toList();
    }

    private static HttpFields removeFrom(HttpFields headers, Set<String> additionalNames) {
        Set<String> removedNames = new HashSet<>(additionalNames);
        headers.getValuesList(HttpHeader.CONNECTION)
                .forEach(value -> addConnectionHeaders(value, removedNames));
        HttpFields.Mutable kept = HttpFields.build();
        for (HttpField field : headers) {
            if (isKept(field.getName(), removedNames)) {
                kept.add(field);
            }
        }
        return kept;
    }

    private static void addConnectionHeaders(String connection, Set<String> removedNames) {
        for (String headerName : connection.split(",")) {
            removedNames.add(lowerCase(headerName.trim()));
        }
    }

    private static boolean isKept(String name, Set<String> removedNames) {
        String lowerCase = lowerCase(name);
        return !HOP_BY_HOP.contains(lowerCase) && !removedNames.contains(lowerCase);
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
