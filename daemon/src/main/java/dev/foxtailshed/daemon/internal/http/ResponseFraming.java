package dev.foxtailshed.daemon.internal.http;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** How the end of an HTTP/1.1 response body is marked. */
public enum ResponseFraming {
    /** The head names the length of the body. */
    LENGTH,
    /** The body comes in chunks, of which the last one is marked. */
    CHUNKS,
    /** The body ends with its connection, so an orderly close looks the same at any point. */
    CONNECTION;

    /**
     * Returns whether the end of a body shows that the server has sent all of it.
     *
     * @return false if the body ends with its connection
     */
    public boolean marksEnd() {
        return this != CONNECTION;
    }

    /**
     * Returns the framing of a response that may have a body.
     *
     * @param headers the headers of the response
     * @return the framing
     */
    public static ResponseFraming of(HttpFields headers) {
        if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            return CHUNKS;
        }
        return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }
}
