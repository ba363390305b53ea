/** Load experiments and measurements, most of them against an installation of real processes. */
package dev.foxtailshed.bench;
