/** Benchmarks that compare the admission, retry and routing classes with three baselines on a virtual clock. */
package org.plantainshunt.bench.policy;
