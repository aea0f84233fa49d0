# Plots p99 response and worth on time over load from build/bench.jsonl; run with `make bench-plot`.
set terminal svg size 1100,760 dynamic font "sans,11"
set output "docs/bench.svg"
set datafile separator "\t"
set key below maxrows 3
set xtics (50, 70, 85, 95, 130)
set grid
set multiplot layout 2,2
policies = "omniscient product random round-robin hash least-outstanding two-choices"
data = "build/bench.tsv"
do for [service in "sinos/order-desk sinos/pattern-delivery"] {
  set title service.": p99 response"
  set xlabel "load (%)"
  set ylabel "ms"
  set logscale y
  plot for [p in policies] sprintf ("< grep '^%s\t%s\t' %s", service, p, data) using 3:4 with linespoints title p
  unset logscale y
  set title service.": worth on time"
  set ylabel "share"
  plot for [p in policies] sprintf ("< grep '^%s\t%s\t' %s", service, p, data) using 3:5 with linespoints title p
}
unset multiplot
