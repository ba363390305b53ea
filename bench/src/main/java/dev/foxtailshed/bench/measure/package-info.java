/** Measurement tools shared by the experiments. */
package dev.foxtailshed.bench.measure;
