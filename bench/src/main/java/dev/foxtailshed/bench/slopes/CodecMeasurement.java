package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.WorkKind;
import dev.foxtailshed.wire.internal.FrameCodec;
import dev.foxtailshed.wire.internal.FrameReader;
import dev.foxtailshed.wire.internal.FrameWriter;
import dev.foxtailshed.wire.internal.MalformedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Measures the rate at which one core encodes and decodes frames, and the size of the frames. */
final class CodecMeasurement implements ScalingMeasurement {

    private static final int MAXIMUM_FRAME_BYTES = 1 << 20;
    private static final int FRAMES = 300_000;
    private static final int REPETITIONS = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final AttemptId ID = new AttemptId(0x1234_5678_9abc_def0L, 123_456_789L, 1);

    @Override
    public String word() {
        return "codec";
    }

    @Override
    public void measure(ScalingReport report) {
        FrameCodec codec = new FrameCodec(MAXIMUM_FRAME_BYTES);
        FrameWriter writer = new FrameWriter();
        FrameReader reader = new FrameReader();
        samples()
                .forEach(
                        (name, message) -> {
                            codec.encode(message, writer);
                            report.add(name + ", bytes a frame", 1, writer.sizeBytes());
                            run(codec, writer, reader, message);
                            for (int i = 0; i < REPETITIONS; i++) {
                                double seconds = run(codec, writer, reader, message);
                                report.add(
                                        name + ", encoded and decoded a second and core",
                                        1,
                                        FRAMES / seconds);
                            }
                        });
        report.print("Codec", "one thread");
    }

    private static double run(
            FrameCodec codec, FrameWriter writer, FrameReader reader, Message message) {
        long startNanos = System.nanoTime();
        long checked = 0;
        for (int i = 0; i < FRAMES; i++) {
            codec.encode(message, writer);
            checked += decode(codec, writer, reader).hashCode();
        }
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        return checked == 1 ? 0 : seconds;
    }

    private static Message decode(FrameCodec codec, FrameWriter writer, FrameReader reader) {
        try {
            return codec.decode(
                    reader,
                    writer.array(),
                    FrameCodec.LENGTH_BYTES,
                    writer.sizeBytes() - FrameCodec.LENGTH_BYTES);
        } catch (MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, Message> samples() {
        Map<String, Message> samples = new LinkedHashMap<>();
        samples.put("Heartbeat", new Message.Heartbeat(12_345));
        samples.put("LoadReport", new Message.LoadReport(12_345, false, 17, 1_900, 4_000, 0));
        samples.put(
                "Offer",
                new Message.Offer(
                        ID, WorkKind.DECODE, "pricing-summaries", 12_345, 40, 600, 2, 300));
        byte[] token = " w17-0123abcd".getBytes(StandardCharsets.UTF_8);
        samples.put("AnswerPart of one token", new Message.AnswerPart(ID, 17, 1, token));
        return samples;
    }
}
