package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.ServerProtocol.CallerIdentity;
import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import dev.foxtailshed.kernel.direct.workspace.Workspace;
import java.math.BigDecimal;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request with its complete body.
 *
 * @param id the id that the caller gave this attempt
 * @param callerAddress the IP address that the request came from
 * @param method the HTTP method
 * @param target the path and query, as sent
 * @param headers the end-to-end headers
 * @param body the complete body
 * @param attributes the metadata from the caller's headers
 * @param route the route that matched when the head arrived
 * @param service the service that runs the request
 * @param workspace the caller's workspace, if it has a valid key
 * @param identity what servers learn of the caller; empty if the deployment has no workspaces
 * @param priority the rank among workspaces and routes, or among routes alone; 0 is the most urgent
 * @param routesVersion the version of the routing configuration that has the route
 * @param arrivedMillis when the head arrived, on the timer's clock
 * @param deadlineMillis when the final response must have been sent, on the timer's clock
 */
record CallerRequest(
        String id,
        String callerAddress,
        String method,
        String target,
        HttpFields headers,
        byte[] body,
        RequestAttributes attributes,
        DirectRoute route,
        DirectService service,
        Optional<Workspace> workspace,
        Optional<CallerIdentity> identity,
        int priority,
        BigDecimal routesVersion,
        long arrivedMillis,
        long deadlineMillis) {

    /** Returns what the request costs of its workspace's quota. */
    double cost() {
        return workspace.map(t -> t.cost(attributes.tokenCounts())).orElse(0.0);
    }

    /**
     * Returns whether other requests of the deployment are less urgent; false without workspaces.
     */
    boolean isUrgent() {
        return identity.map(CallerIdentity::urgent).orElse(false);
    }
}
