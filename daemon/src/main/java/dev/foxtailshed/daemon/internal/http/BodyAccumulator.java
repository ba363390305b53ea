package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.direct.BufferBudget;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads a body of limited size into memory without blocking.
 *
 * <p>Example: <code>BodyAccumulator.read(request, 4096).thenAccept(body -> ...)</code>.
 */
public final class BodyAccumulator implements Runnable {

    private final Content.Source source;
    private final int maximumBytes;
    private final Optional<BufferBudget.Account> account;
    private final List<byte[]> parts = new ArrayList<>();
    private int size;
    private boolean discarding;
    private final CompletableFuture<Optional<byte[]>> result = new CompletableFuture<>();

    private BodyAccumulator(
            Content.Source source, int maximumBytes, Optional<BufferBudget.Account> account) {
        this.source = source;
        this.maximumBytes = maximumBytes;
        this.account = account;
    }

    /** The failure of a body for which there is no memory left. */
    public static final class NoRoomException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoRoomException() {
            super("no memory is left for the body", null, false, false);
        }
    }

    /**
     * Starts reading a body.
     *
     * @param source the body
     * @param maximumBytes the maximum size of the body
     * @return the body, or empty if it is larger; completes exceptionally if the body is incomplete
     */
    public static CompletableFuture<Optional<byte[]>> read(
            Content.Source source, int maximumBytes) {
        return start(new BodyAccumulator(source, maximumBytes, Optional.empty()));
    }

    /**
     * Starts reading a body that counts against a budget.
     *
     * @param source the body
     * @param maximumBytes the maximum size of the body
     * @param account holds the bytes of the body until the caller closes it
     * @return the body, or empty if it is larger; completes with a {@link NoRoomException} if the
     *     budget is used up, but not before the whole body was read, as its sender would not get a
     *     response on a connection that is closed while it sends
     */
    public static CompletableFuture<Optional<byte[]>> read(
            Content.Source source, int maximumBytes, BufferBudget.Account account) {
        return start(new BodyAccumulator(source, maximumBytes, Optional.of(account)));
    }

    private static CompletableFuture<Optional<byte[]>> start(BodyAccumulator accumulator) {
        accumulator.run();
        return accumulator.result;
    }

    @Override
    public void run() {
        while (!result.isDone()) {
            Content.Chunk chunk = source.read();
            if (chunk == null) {
                source.demand(this);
                return;
            }
            readChunk(chunk);
        }
    }

    private void readChunk(Content.Chunk chunk) {
        if (Content.Chunk.isFailure(chunk)) {
            result.completeExceptionally(chunk.getFailure());
            return;
        }
        ByteBuffer buffer = chunk.getByteBuffer();
        int newSize = size + buffer.remaining();
        if (newSize > maximumBytes) {
            chunk.release();
            result.complete(Optional.empty());
        } else {
            size = newSize;
            keepOrDiscard(buffer);
            chunk.release();
            if (chunk.isLast()) {
                complete();
            }
        }
    }

    /** Keeps a part while there is room; after that, the body is read to its end and discarded. */
    private void keepOrDiscard(ByteBuffer buffer) {
        discarding = discarding || !hasRoom(size);
        if (discarding) {
            parts.clear();
        } else {
            addPart(BufferUtil.toArray(buffer));
        }
    }

    private void complete() {
        if (discarding) {
            result.completeExceptionally(new NoRoomException());
        } else {
            result.complete(Optional.of(join()));
        }
    }

    private boolean hasRoom(int newSize) {
        return account.isEmpty() || account.get().tryGrowTo(newSize);
    }

    private void addPart(byte[] part) {
        if (part.length > 0) {
            parts.add(part);
        }
    }

    private byte[] join() {
        if (parts.size() == 1) {
            return parts.get(0);
        }
        ByteBuffer joined = ByteBuffer.allocate(size);
        parts.forEach(joined::put);
        parts.clear();
        return joined.array();
    }
}
