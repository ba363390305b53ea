package dev.foxtailshed.daemon.hosting;

import dev.foxtailshed.kernel.direct.RequestAttributes;
import org.eclipse.jetty.http.HttpFields;

/** Parses the metadata that callers send in the headers of their requests. Thread-safe. */
public interface CallerProtocol {

    /**
     * Parses the headers of a request.
     *
     * @param headers the caller's headers
     * @return the metadata; an optional value that is malformed is treated as absent
     */
    RequestAttributes parse(HttpFields headers);
}
