package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.daemon.internal.serial.SerialTimer;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.BufferBudget;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealthRegistry;
import dev.foxtailshed.kernel.direct.ServerRateLimits;
import java.util.function.DoubleSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * The dependencies that all flows of a direct entry share.
 *
 * @param platform the adapter to the hosting platform
 * @param view the current routes and servers
 * @param loop the executor that runs all decisions, one at a time; called the entry's loop
 * @param timer the clock and scheduler
 * @param httpClient the client for calls to backend servers
 * @param health the health of the backend servers
 * @param rateLimits the request rates that backend servers named
 * @param retryBudgets the retry budgets by service
 * @param quotas the quotas of the workspaces
 * @param requestBuffers the memory for bodies of requests
 * @param responseBuffers the memory for parts of responses
 * @param recorder the metrics and log events of requests
 * @param random supplies random numbers in [0, 1)
 */
record DirectContext(
        HostingPlatform platform,
        DeploymentView view,
        SerialExecutor loop,
        TimerService timer,
        HttpClient httpClient,
        ServerHealthRegistry health,
        ServerRateLimits rateLimits,
        WindowedRetryBudgets retryBudgets,
        WorkspaceQuotas quotas,
        BufferBudget requestBuffers,
        BufferBudget responseBuffers,
        DirectRequestRecorder recorder,
        DoubleSupplier random) {

    /** Runs a step on the loop; runs it on the calling thread if the loop is idle. */
    void runOnLoop(Runnable step) {
        loop.executeOrEnqueue(step);
    }

    /**
     * Runs a step on the loop after a delay; a negative delay counts as zero. The step does not run
     * once it was cancelled on the loop.
     */
    Subscription schedule(long delayMillis, Runnable step) {
        return new SerialTimer(timer, loop::executeOrEnqueue).once(delayMillis, step);
    }

    Request backendRequest(DirectServer server, String method, String target) {
        int colon = server.address().lastIndexOf(':');
        String host = server.address().substring(0, colon);
        int port = Integer.parseInt(server.address().substring(colon + 1));
        return httpClient.newRequest(host, port).method(method).path(target);
    }
}
