package dev.foxtailshed.daemon.internal.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
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
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<Optional<byte[]>> result = new CompletableFuture<>();

    private BodyAccumulator(Content.Source source, int maximumBytes) {
        this.source = source;
        this.maximumBytes = maximumBytes;
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
        BodyAccumulator accumulator = new BodyAccumulator(source, maximumBytes);
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
        if (bytes.size() + buffer.remaining() > maximumBytes) {
            chunk.release();
            result.complete(Optional.empty());
            return;
        }
        bytes.writeBytes(BufferUtil.toArray(buffer));
        chunk.release();
        if (chunk.isLast()) {
            result.complete(Optional.of(bytes.toByteArray()));
        }
    }
}
