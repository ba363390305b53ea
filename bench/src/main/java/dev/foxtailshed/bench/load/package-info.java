/** Load experiments: several routers under the same arrivals. */
package dev.foxtailshed.bench.load;
