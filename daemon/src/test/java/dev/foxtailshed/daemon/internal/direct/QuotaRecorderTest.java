package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import dev.foxtailshed.kernel.SteppedTimerService;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests under which names the requests of workspaces are counted. */
class QuotaRecorderTest {

    private final MetricRegistry registry = new MetricRegistry();
    private final QuotaRecorder recorder = new QuotaRecorder(registry, new SteppedTimerService());

    /** Guards against a page of metrics that has one name twice, which collectors refuse. */
    @Test
    void differentWorkspacesHaveDifferentMetrics() {
        List<String> workspaces =
                List.of(
                        "acme",
                        "Acme",
                        "tenant-1",
                        "tenant_1",
                        "tenant 1",
                        "others",
                        "\u03a0\u03ac\u03c1\u03bf\u03c2",
                        "\u039d\u03ac\u03be\u03bf\u03c2",
                        "\u00e9",
                        "e\u0301");
        workspaces.forEach(workspace -> recorder.recordRefund(workspace, 1));

        assertThat(registry.getCounters().keySet())
                .extracting(name -> name.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT))
                .doesNotHaveDuplicates()
                .hasSize(workspaces.size())
                .doesNotContain("quota_refunded_others");
    }

    @ParameterizedTest
    @ValueSource(strings = {"acme", "tenant-1"})
    void plainNameIsShownAsItIs(String workspace) {
        recorder.recordRefund(workspace, 1);
        assertThat(registry.getCounters()).containsOnlyKeys("quota.refunded." + workspace);
    }

    @Test
    void workspacesBeyondTheBoundShareOneSet() {
        for (int i = 0; i < 70; i++) {
            recorder.recordRejection("w" + i, 2, 0);
        }
        assertThat(registry.getCounters()).hasSize(65);
        assertThat(registry.counter("quota.rejected.others").getCount()).isEqualTo(6);
    }
}
