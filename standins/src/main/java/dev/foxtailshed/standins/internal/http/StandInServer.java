package dev.foxtailshed.standins.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/**
 * A small HTTP server that passes each call, with its complete body, to one consumer.
 *
 * <p>The consumer must not block; it may respond at any later time. Calls with a body above 8 MiB
 * are refused with 413. Thread-safe.
 */
public final class StandInServer implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;
    private static final int MAXIMUM_THREADS = 10;
    private static final int MINIMUM_THREADS = 4;
    private static final int IDLE_TIMEOUT_MILLIS = 600_000;

    private final ScheduledExecutorService scheduler;
    private final QueuedThreadPool threads;
    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates a server that is not listening yet.
     *
     * @param listen the address to listen on; with port 0 the system chooses one
     */
    public StandInServer(InetSocketAddress listen) {
        scheduler = Executors.newSingleThreadScheduledExecutor(StandInServer::newTimerThread);
        threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setReservedThreads(1);
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        connector = new ProbedConnector(server, new HttpConnectionFactory(configuration));
        connector.setHost(listen.getHostString());
        connector.setPort(listen.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
    }

    /**
     * Starts listening.
     *
     * @param consumer the handler of all calls
     * @throws IOException if the server cannot listen on the address
     */
    public void start(Consumer<Call> consumer) throws IOException {
        server.setHandler(new CallHandler(consumer, new DisconnectMonitor(scheduler)));
        try {
            server.start();
        } catch (IOException e) {
            close();
            throw e;
        } catch (Exception e) {
            close();
            throw new IOException(e);
        }
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    /** Returns the single-threaded timer of this server; its tasks must be short. */
    public ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /** Returns the thread pool of this server. */
    public QueuedThreadPool threads() {
        return threads;
    }

    /**
     * Runs a task on the timer thread after a delay, or immediately on the calling thread if the
     * delay is not positive.
     *
     * @param delayMillis the delay
     * @param task the task
     */
    public void runAfterMillis(long delayMillis, Runnable task) {
        if (delayMillis <= 0) {
            task.run();
        } else {
            scheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        scheduler.shutdownNow();
        try {
            server.stop();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static Thread newTimerThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in-timer");
        thread.setDaemon(true);
        return thread;
    }

    private static final class CallHandler extends Handler.Abstract.NonBlocking {

        private final Consumer<Call> consumer;
        private final DisconnectMonitor disconnectMonitor;

        CallHandler(Consumer<Call> consumer, DisconnectMonitor disconnectMonitor) {
            this.consumer = consumer;
            this.disconnectMonitor = disconnectMonitor;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (request.getLength() > MAXIMUM_BODY_BYTES) {
                Response.writeError(request, response, callback, 413);
                return true;
            }
            Content.Source.asByteBuffer(
                    request,
                    Promise.from(
                            body -> {
                                byte[] bytes = BufferUtil.toArray(body);
                                accept(
                                        new Call(
                                                request,
                                                response,
                                                callback,
                                                bytes,
                                                disconnectMonitor));
                            },
                            callback::failed));
            return true;
        }

        private void accept(Call call) {
            try {
                consumer.accept(call);
            } catch (RuntimeException e) {
                Logger.error(e, "handler of a call failed");
                call.reply(Reply.error(500, String.valueOf(e)));
            }
        }
    }

    private static final class ProbedConnector extends ServerConnector {

        ProbedConnector(Server server, HttpConnectionFactory factory) {
            super(server, 1, 1, factory);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new ProbedEndPoint(channel, selector, key, getScheduler());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }
}
