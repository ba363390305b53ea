package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.daemon.hosting.HostingPlatform;
import dev.foxtailshed.daemon.internal.serial.SerialExecutor;
import dev.foxtailshed.kernel.TimerService;
import dev.foxtailshed.kernel.TimerService.Subscription;
import dev.foxtailshed.kernel.direct.DirectServer;
import dev.foxtailshed.kernel.direct.ServerHealthRegistry;
import java.util.function.DoubleSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * What the flows of a direct entry share.
 *
 * @param platform the hosting platform
 * @param view routes and servers
 * @param loop runs all decisions, one at a time
 * @param timer the time
 * @param httpClient the client to backend servers
 * @param health the servers' health
 * @param budgets the budgets for repeats
 * @param journal logs what happens to requests
 * @param random numbers from 0 up to but not including 1
 */
record DirectContext(
        HostingPlatform platform,
        DeploymentView view,
        SerialExecutor loop,
        TimerService timer,
        HttpClient httpClient,
        ServerHealthRegistry health,
        WindowedRetryBudgets budgets,
        DirectRequestRecorder journal,
        DoubleSupplier random) {

    /** Runs a step on the loop, at once if the loop is idle. */
    void onLoop(Runnable step) {
        loop.executeOrEnqueue(step);
    }

    /** Runs a step on the loop after a time. */
    Subscription once(long delayMillis, Runnable step) {
        return timer.once(Math.max(0, delayMillis), () -> loop.executeOrEnqueue(step));
    }

    Request backendRequest(DirectServer server, String method, String target) {
        int colon = server.address().lastIndexOf(':');
        String host = server.address().substring(0, colon);
        int port = Integer.parseInt(server.address().substring(colon + 1));
        return httpClient.newRequest(host, port).method(method).path(target);
    }
}
