package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request, read as a whole.
 *
 * @param id the caller's id of this attempt
 * @param method its method
 * @param target its path and query as sent
 * @param headers its end-to-end headers
 * @param body its body
 * @param terms what the caller says of it
 * @param route the route in force when its head came
 * @param service the service that runs it
 * @param routesVersion the version of the routing configuration
 * @param arrivedMillis when its head came
 * @param deadlineMillis when the final answer must have been given
 */
record CallerRequest(
        String id,
        String method,
        String target,
        HttpFields headers,
        byte[] body,
        RequestAttributes terms,
        DirectRoute route,
        DirectService service,
        long routesVersion,
        long arrivedMillis,
        long deadlineMillis) {}
