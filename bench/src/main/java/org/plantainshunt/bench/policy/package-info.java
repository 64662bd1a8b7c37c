/** Policy benchmarks: the decision classes and three baselines on a virtual clock. */
package org.plantainshunt.bench.policy;
