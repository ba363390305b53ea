package dev.foxtailshed.bench.slopes;

import java.io.IOException;

/** A measurement of one cost at several sizes. */
interface ScalingMeasurement {

    /** Returns the word that selects this measurement on the command line. */
    String word();

    /** Runs the measurement and prints its tables to the report. */
    void measure(ScalingReport report) throws IOException, InterruptedException;
}
