package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.direct.RequestAttributes;
import org.eclipse.jetty.http.HttpFields;

/** Reads what callers say of their requests. Thread-safe. */
public interface CallerProtocol {

    /**
     * Reads the headers of a request.
     *
     * @param headers the caller's headers
     * @return what they say; unreadable optional values count as absent
     */
    RequestAttributes read(HttpFields headers);
}
