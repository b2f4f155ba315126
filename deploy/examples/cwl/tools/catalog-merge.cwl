cwlVersion: v1.2
class: CommandLineTool
$namespaces: {oliveshift: "https://oliveshift.example/cwl#"}
baseCommand: catalog-merge
requirements:
  DockerRequirement: {dockerPull: waves/catalog}
  ResourceRequirement: {coresMin: 1, ramMin: 1600}
hints:
  oliveshift:Placement: {class_of_work: catalog-merge, urgency: high, estimate_s: 8, image_gb: 0.7, deadline_s: 150}
inputs:
  arrivals:
    type: File[]
    inputBinding: {prefix: --arrivals, itemSeparator: ","}
  catalog: {type: File, inputBinding: {position: 1}}
outputs:
  event: {type: File, outputBinding: {glob: event.xml}}
