package dev.foxtailshed.bench.load;

import dev.foxtailshed.harness.Installation;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A fault that is injected during a point and repaired after it. */
enum LoadFault {
    /** No fault. */
    NONE("none") {
        @Override
        void inject(Installation site) {
            // There is no fault to inject.
        }

        @Override
        void repair(Installation site) {
            // There is no fault to repair.
        }
    },
    /** One decode server is killed when a third of the window has passed. */
    DECODE_KILLED("decode-killed") {
        @Override
        void inject(Installation site) {
            site.backend(FAULTY_DECODE_SERVER).kill();
        }

        @Override
        void repair(Installation site) {
            site.sidecar(FAULTY_DECODE_SERVER).kill();
            site.restartBackend(FAULTY_DECODE_SERVER);
            site.restartSidecar(FAULTY_DECODE_SERVER);
            site.awaitServing(0);
            site.awaitServing(1);
        }
    },
    /** The transfer link of one decode server runs at a tenth of its rate. */
    LINK_SLOWED("link-slowed") {
        @Override
        void inject(Installation site) throws IOException {
            setEngineFaults(site, List.of(FAULTY_DECODE_SERVER), "{\"linkFactor\":10}");
        }

        @Override
        void repair(Installation site) throws IOException {
            setEngineFaults(site, List.of(FAULTY_DECODE_SERVER), "{}");
        }
    },
    /** The load reports of all engines are two seconds old. */
    LOAD_LAG("load-lag") {
        @Override
        void inject(Installation site) throws IOException {
            setEngineFaults(site, ENGINES, "{\"loadLagMillis\":2000}");
        }

        @Override
        void repair(Installation site) throws IOException {
            setEngineFaults(site, ENGINES, "{}");
        }
    },
    /** All engines drop half of their cache events. */
    CACHE_EVENTS_LOST("cache-events-lost") {
        @Override
        void inject(Installation site) throws IOException {
            setEngineFaults(site, ENGINES, "{\"cacheEventLossPercent\":50}");
        }

        @Override
        void repair(Installation site) throws IOException {
            setEngineFaults(site, ENGINES, "{}");
        }
    };

    static final List<String> ENGINES = List.of("p1", "p2", "p3", "d1", "d2", "d3");
    private static final String FAULTY_DECODE_SERVER = "d1";

    final String label;

    LoadFault(String label) {
        this.label = label;
    }

    static LoadFault ofLabel(String label) {
        for (LoadFault fault : values()) {
            if (fault.label.equals(label)) {
                return fault;
            }
        }
        throw new IllegalArgumentException("unknown fault " + label);
    }

    abstract void inject(Installation site) throws IOException;

    abstract void repair(Installation site) throws IOException;

    private static void setEngineFaults(Installation site, List<String> servers, String faults)
            throws IOException {
        for (String server : servers) {
            site.http()
                    .call(
                            "PUT",
                            site.backend(server).address(),
                            "/control/faults",
                            Map.of(),
                            faults);
        }
    }
}
