package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.suspects.BrokenRun;
import dev.foxtailshed.kernel.suspects.RequestTraits;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the format of crash notices between entries. */
class CrashNoticeTest {

    private static final Incarnation SERVER = new Incarnation("i-1", 1_000);
    private static final RequestTraits PROMPT =
            RequestTraits.ofPrompt(new PromptParts(List.of("c")));

    static Stream<CrashNotice> notices() {
        return Stream.of(
                new CrashNotice.Crashed(
                        SERVER,
                        List.of(
                                new BrokenRun(
                                        RequestTraits.of(PromptParts.NONE, "d1", "d2"), 0, 90),
                                new BrokenRun(PROMPT, 0, 0)),
                        List.of(),
                        7),
                new CrashNotice.Crashed(SERVER, List.of(), List.of(), 0),
                new CrashNotice.Crashed(
                        SERVER,
                        List.of(new BrokenRun(PROMPT, 0, 12)),
                        List.of(
                                new BrokenRun(
                                        RequestTraits.of(PromptParts.NONE, "d1", "d2"), 3, 250),
                                new BrokenRun(
                                        RequestTraits.of(PromptParts.NONE, "d3", "d4"), 0, 0)),
                        7),
                new CrashNotice.Ended(RequestTraits.of(PromptParts.NONE, "d1", "d2").traits(), 3),
                new CrashNotice.Began(
                        RequestTraits.of(new PromptParts(List.of("a", "b")), "d1", "d2").traits(),
                        3));
    }

    @ParameterizedTest
    @MethodSource("notices")
    void decodesWhatWasEncoded(CrashNotice notice) {
        List<CrashNotice> both = List.of(notice, notice.olderBy(5));

        assertThat(CrashNotice.decode(CrashNotice.encode(both))).isEqualTo(both);
        assertThat(both.get(1).ageMillis()).isEqualTo(notice.ageMillis() + 5);
    }

    @ParameterizedTest
    @MethodSource("notices")
    void refusesTruncatedNotices(CrashNotice notice) {
        byte[] bytes = CrashNotice.encode(List.of(notice));
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThatThrownBy(() -> CrashNotice.decode(truncated))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageStartingWith("expected crash notices");
        }
    }

    /** Entries are replaced one by one, and those of the version before name no durations. */
    @Test
    void decodesCrashesOfTheVersionBefore() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packArrayHeader(1);
        packer.packLong(7);
        packer.packString(SERVER.id());
        packer.packLong(SERVER.startedEpochMillis());
        packer.packArrayHeader(1);
        packer.packArrayHeader(1);
        packer.packString("c");

        assertThat(CrashNotice.decode(packer.toByteArray()))
                .containsExactly(
                        new CrashNotice.Crashed(
                                SERVER, List.of(new BrokenRun(PROMPT, 0, 0)), List.of(), 7));
    }
}
